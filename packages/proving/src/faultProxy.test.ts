import { once } from 'node:events';
import { connect, createServer, type AddressInfo } from 'node:net';
import t from 'tap';
import { FaultProxy } from './faultProxy.js';

const startEcho = async () => {
  const server = createServer((socket) => {
    socket.on('error', () => socket.destroy());
    socket.pipe(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return { server, port: (server.address() as AddressInfo).port };
};

const sendEcho = async (port: number, text: string): Promise<string> => {
  const socket = connect(port, '127.0.0.1');
  socket.write(text);
  const [data] = (await once(socket, 'data')) as [Buffer];
  socket.destroy();
  return data.toString();
};

t.test('a silent connection stays open while new connections work', async (t2) => {
  const { server, port } = await startEcho();
  const proxy = await FaultProxy.start({ targetHost: '127.0.0.1', targetPort: port });
  const old = connect(proxy.port, '127.0.0.1');
  old.write('a');
  await once(old, 'data');
  let received = 0;
  old.on('data', () => {
    received += 1;
  });
  proxy.setMode('silent_existing');
  proxy.setMode('pass');
  old.write('b');
  t2.equal(await sendEcho(proxy.port, 'c'), 'c');
  t2.equal(received, 0);
  t2.notOk(old.destroyed);
  old.destroy();
  await proxy.stop();
  server.close();
});

t.test('refused connections fail and work again afterwards', async (t2) => {
  const { server, port } = await startEcho();
  const proxy = await FaultProxy.start({ targetHost: '127.0.0.1', targetPort: port });
  proxy.setMode('refuse');
  await t2.rejects(sendEcho(proxy.port, 'a'));
  proxy.setMode('pass');
  t2.equal(await sendEcho(proxy.port, 'b'), 'b');
  await proxy.stop();
  server.close();
});
