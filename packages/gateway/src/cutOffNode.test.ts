import t from 'tap';
import type { ReadResult } from '@lovagearch/mirror';
import { startGateway } from './index.js';
import {
  createDependencies,
  createRegistration,
  createRows,
  FakeEndpoint,
  LAST_EVENT_HEADER,
  REQUEST_ID_HEADER,
  RESUMES_HEADER,
  SEAL_HEADER,
  send,
  SETTINGS,
  waitUntilReady,
} from './testGateway.js';
import { FakeSharedTable } from './testSharedTable.js';

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** Table that a node which is cut off can't read. */
class CuttableTable extends FakeSharedTable {
  isCutOff = false;

  override async readChanges(afterVersion: number, waitMs: number): Promise<ReadResult> {
    const result = await super.readChanges(afterVersion, this.isCutOff ? 0 : waitMs);
    return this.isCutOff
      ? { type: 'failure', failure: { type: 'unavailable', reason: 'cut off' } }
      : result;
  }
}

const startEndpoint = async () => {
  const endpoint = new FakeEndpoint();
  endpoint.handle = (incoming, response) => {
    response.writeHead(HTTP_OK, {
      [SEAL_HEADER]: '1',
      [REQUEST_ID_HEADER]: String(incoming.headers[REQUEST_ID_HEADER]),
      'content-type': 'text/event-stream',
    });
    response.end(`id: ${Number(incoming.headers[LAST_EVENT_HEADER]) + 1}\ndata: a\n\n`);
  };
  return { endpoint, port: await endpoint.start() };
};

// Guards against a node that takes the versions of its last copy for all, while peers begin streams at a new one.
t.test('a node that is cut off does not resume streams of unknown origin', async (t2) => {
  const { endpoint, port } = await startEndpoint();
  t2.teardown(() => endpoint.stop());
  const shared = new CuttableTable();
  const registrations = new CuttableTable();
  registrations.write('i-0', createRegistration('i-0', port));
  shared.write('peer/n2', { address: '127.0.0.1:1', loadAddress: '127.0.0.1:1', zone: 'z1' });
  const dependencies = createDependencies(createRows([]), shared, () => 0.5, registrations);
  const gateway = await startGateway(SETTINGS, dependencies, '/ready');
  t2.teardown(async () => gateway.drain('test'));
  await waitUntilReady(gateway);
  const resume = async (id: string) => {
    const { status } = await send(gateway, '/stream/x', `${id}-resumed`, 'prompt', undefined, {
      [LAST_EVENT_HEADER]: '5',
      [RESUMES_HEADER]: id,
    });
    return status;
  };
  t2.equal(await resume('before'), HTTP_OK);
  shared.isCutOff = true;
  registrations.isCutOff = true;
  // The long polls that wait end with it, as if the cut had come before.
  registrations.write('i-1', { ...createRegistration('i-1', port), softwareVersion: 'v2' });
  t2.equal(await resume('during'), HTTP_UNAVAILABLE);
  t2.notOk(endpoint.received.includes('during-resumed'));
  shared.isCutOff = false;
  registrations.isCutOff = false;
  t2.equal(await resume('after'), HTTP_UNAVAILABLE);
});
