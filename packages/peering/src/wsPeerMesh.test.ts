import { once } from 'node:events';
import { isDeepStrictEqual } from 'node:util';
import t, { type Test } from 'tap';
import { WebSocket, WebSocketServer } from 'ws';
import { createLogger, toId, type NodeId } from '@lovagearch/common';
import fc from 'fast-check';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import { decodeFrame, encodeFrame, encodeValue } from './frames.js';
import { FrameReader } from './frameReader.js';
import { receiveHandshake, sendHandshake } from './handshake.js';
import type { PeerError } from './types.js';
import { WsPeerMesh } from './wsPeerMesh.js';

const log = createLogger('error');
const clusterKey = Buffer.from('test cluster key');
const a = toId<NodeId>('node-a');
const b = toId<NodeId>('node-b');
const echoSchema = z.object({ text: z.string() });

const createMesh = async (t2: Test, self: NodeId, key = clusterKey): Promise<WsPeerMesh> => {
  const mesh = await WsPeerMesh.create({ self, clusterKey: key, host: '127.0.0.1', port: 0, log });
  t2.teardown(() => mesh.close());
  mesh.registerHandler('test.echo', echoSchema, (_from, payload) => payload);
  mesh.registerHandler('test.never', z.unknown(), () => new Promise<void>(() => {}));
  return mesh;
};

const getError = async (reply: PromiseLike<Result<unknown, PeerError>>): Promise<unknown> =>
  (await reply).match(
    () => undefined,
    (error) => error,
  );

const getAddress = (mesh: WsPeerMesh): string => `127.0.0.1:${mesh.port}`;

/** Opens a plain WebSocket to a mesh, so that a test can send protocol frames itself. */
const openRaw = async (t2: Test, mesh: WsPeerMesh): Promise<WebSocket> => {
  const socket = new WebSocket(`ws://${getAddress(mesh)}`);
  socket.on('error', () => undefined);
  t2.teardown(() => socket.terminate());
  await once(socket, 'open');
  return socket;
};

t.test('requests in both directions share connections after simultaneous connects', async (t2) => {
  const [meshA, meshB] = [await createMesh(t2, a), await createMesh(t2, b)];
  meshA.setAddress(b, getAddress(meshB));
  meshB.setAddress(a, getAddress(meshA));
  for (let round = 0; round < 3; round++) {
    const replies = await Promise.all([
      meshA.request(b, 'test.echo', { text: 'from a' }, 5_000),
      meshB.request(a, 'test.echo', { text: 'from b' }, 5_000),
    ]);
    t2.same(
      replies.map((reply) => reply.unwrapOr(undefined)),
      [{ text: 'from a' }, { text: 'from b' }],
    );
  }
  t2.ok(meshA.getTraffic().sentBytes > 0);
  t2.equal(meshA.getTraffic().sentBytes, meshB.getTraffic().receivedBytes);
});

t.test('a peer with a different cluster key or an unexpected node id is rejected', async (t2) => {
  const [meshA, meshB] = [await createMesh(t2, a), await createMesh(t2, b)];
  const stranger = await createMesh(t2, toId<NodeId>('node-c'), Buffer.from('another key'));
  stranger.setAddress(a, getAddress(meshA));
  const wrongKey = await getError(stranger.request(a, 'test.echo', { text: '' }, 5_000));
  t2.match(wrongKey, { type: 'not_connected', message: /bad_mac/ });
  meshA.setAddress(toId<NodeId>('node-x'), getAddress(meshB));
  const wrongId = await getError(
    meshA.request(toId<NodeId>('node-x'), 'test.echo', { text: '' }, 5_000),
  );
  t2.match(wrongId, { type: 'not_connected', message: /unexpected_node/ });
  t2.equal((await meshA.introduce(getAddress(meshB), 5_000)).unwrapOr(a), b);
});

t.test('a replayed handshake is rejected', async (t2) => {
  const mesh = await createMesh(t2, a);
  const recorded: Buffer[] = [];
  const first = await openRaw(t2, mesh);
  const send = first.send.bind(first);
  first.send = ((data: Buffer) => {
    recorded.push(data);
    send(data);
  }) as typeof first.send;
  t2.ok((await sendHandshake(first, FrameReader.create(first), clusterKey, b, a, 5_000)).isOk());
  const second = await openRaw(t2, mesh);
  for (const frame of recorded) second.send(frame);
  await once(second, 'close');
});

t.test('an invalid frame, authenticated or not, closes only its own connection', async (t2) => {
  const mesh = await createMesh(t2, a);
  const unauthenticated = await openRaw(t2, mesh);
  unauthenticated.send(Buffer.from([0xc1, 0xff, 0x00]));
  await once(unauthenticated, 'close');
  const authenticated = await openRaw(t2, mesh);
  await sendHandshake(authenticated, FrameReader.create(authenticated), clusterKey, b, a, 5_000);
  authenticated.send(encodeValue([9, 'x']));
  await once(authenticated, 'close');
  const meshB = await createMesh(t2, b);
  meshB.setAddress(a, getAddress(mesh));
  const bad = await getError(meshB.request(a, 'test.echo', { text: 3 }, 5_000));
  t2.match(bad, { type: 'rejected', reason: 'bad_payload' });
  const unknown = await getError(meshB.request(a, 'test.none', {}, 5_000));
  t2.match(unknown, { type: 'rejected', reason: 'unknown_topic' });
  t2.ok((await meshB.request(a, 'test.echo', { text: 'x' }, 5_000)).isOk());
});

t.test('pending requests fail if the peer stops sending frames', async (t2) => {
  const mesh = await createMesh(t2, a);
  const server = new WebSocketServer({ host: '127.0.0.1', port: 0 });
  t2.teardown(() => {
    for (const socket of server.clients) socket.terminate();
    server.close();
  });
  await once(server, 'listening');
  // Authenticates and then sends nothing.
  server.on('connection', (socket) =>
    receiveHandshake(socket, FrameReader.create(socket), clusterKey, b),
  );
  mesh.setAddress(b, `127.0.0.1:${(server.address() as { port: number }).port}`);
  const reply = await getError(mesh.request(b, 'test.echo', { text: '' }, 600_000));
  t2.match(reply, { type: 'connection_lost' });
});

t.test('a peer that replies to pings is not considered silent while a handler runs', async (t2) => {
  const [meshA, meshB] = [await createMesh(t2, a), await createMesh(t2, b)];
  meshA.setAddress(b, getAddress(meshB));
  const reply = await getError(meshA.request(b, 'test.never', null, 4_500));
  t2.match(reply, { type: 'timeout' });
});

t.test('the send buffer stays bounded if a peer stops reading', async (t2) => {
  const meshA = await createMesh(t2, a);
  const raw = await openRaw(t2, meshA);
  await sendHandshake(raw, FrameReader.create(raw), clusterKey, b, a, 5_000);
  // The pong shows that the mesh has registered the connection.
  raw.send(encodeFrame({ type: 'ping' }));
  await once(raw, 'message');
  raw.pause();
  const text = 'x'.repeat(900_000);
  const errors: string[] = [];
  const pending: Promise<unknown>[] = [];
  for (let index = 0; index < 100; index++) {
    const request = meshA.request(b, 'test.echo', { text }, 600_000);
    pending.push(
      getError(request).then((error) =>
        errors.push((error as PeerError | undefined)?.type ?? 'ok'),
      ),
    );
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    if (errors.includes('peer_busy')) break;
  }
  t2.ok(errors.includes('peer_busy'));
  await meshA.close();
  await Promise.all(pending);
});

t.test('decoding arbitrary bytes never throws, and frames survive a codec round trip', async () => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      decodeFrame(bytes);
    }),
  );
  fc.assert(
    fc.property(fc.nat(), fc.string({ minLength: 1, maxLength: 64 }), (id, topic) => {
      const frame = { type: 'request', id, topic, payload: { id } } as const;
      return isDeepStrictEqual(decodeFrame(encodeFrame(frame)), frame);
    }),
  );
});
