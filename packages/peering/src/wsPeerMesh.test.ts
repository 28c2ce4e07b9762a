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
import { acceptHandshake, initiateHandshake } from './handshake.js';
import type { PeerError } from './types.js';
import { WsPeerMesh } from './wsPeerMesh.js';

const log = createLogger('error');
const clusterKey = Buffer.from('test cluster key');
const nodeA = toId<NodeId>('node-a');
const nodeB = toId<NodeId>('node-b');
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
const openRawSocket = async (t2: Test, mesh: WsPeerMesh): Promise<WebSocket> => {
  const socket = new WebSocket(`ws://${getAddress(mesh)}`);
  socket.on('error', () => undefined);
  t2.teardown(() => socket.terminate());
  await once(socket, 'open');
  return socket;
};

t.test('requests in both directions share connections after simultaneous connects', async (t2) => {
  const [meshA, meshB] = [await createMesh(t2, nodeA), await createMesh(t2, nodeB)];
  meshA.setAddress(nodeB, getAddress(meshB));
  meshB.setAddress(nodeA, getAddress(meshA));
  for (let round = 0; round < 3; round++) {
    const replies = await Promise.all([
      meshA.request(nodeB, 'test.echo', { text: 'from a' }, 5_000),
      meshB.request(nodeA, 'test.echo', { text: 'from b' }, 5_000),
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
  const [meshA, meshB] = [await createMesh(t2, nodeA), await createMesh(t2, nodeB)];
  const meshWithOtherKey = await createMesh(t2, toId<NodeId>('node-c'), Buffer.from('another key'));
  meshWithOtherKey.setAddress(nodeA, getAddress(meshA));
  const wrongKey = await getError(
    meshWithOtherKey.request(nodeA, 'test.echo', { text: '' }, 5_000),
  );
  t2.match(wrongKey, { type: 'not_connected', message: /bad_mac/ });
  meshA.setAddress(toId<NodeId>('node-x'), getAddress(meshB));
  const wrongId = await getError(
    meshA.request(toId<NodeId>('node-x'), 'test.echo', { text: '' }, 5_000),
  );
  t2.match(wrongId, { type: 'not_connected', message: /unexpected_node/ });
  t2.equal((await meshA.identifyPeer(getAddress(meshB), 5_000)).unwrapOr(nodeA), nodeB);
});

t.test('a replayed handshake is rejected', async (t2) => {
  const mesh = await createMesh(t2, nodeA);
  const recorded: Buffer[] = [];
  const first = await openRawSocket(t2, mesh);
  const send = first.send.bind(first);
  first.send = ((data: Buffer) => {
    recorded.push(data);
    send(data);
  }) as typeof first.send;
  t2.ok(
    (
      await initiateHandshake(first, FrameReader.create(first), clusterKey, nodeB, nodeA, 5_000)
    ).isOk(),
  );
  const second = await openRawSocket(t2, mesh);
  for (const frame of recorded) second.send(frame);
  await once(second, 'close');
});

t.test('an invalid frame, authenticated or not, closes only its own connection', async (t2) => {
  const mesh = await createMesh(t2, nodeA);
  const unauthenticated = await openRawSocket(t2, mesh);
  unauthenticated.send(Buffer.from([0xc1, 0xff, 0x00]));
  await once(unauthenticated, 'close');
  const authenticated = await openRawSocket(t2, mesh);
  await initiateHandshake(
    authenticated,
    FrameReader.create(authenticated),
    clusterKey,
    nodeB,
    nodeA,
    5_000,
  );
  authenticated.send(encodeValue([9, 'x']));
  await once(authenticated, 'close');
  const meshB = await createMesh(t2, nodeB);
  meshB.setAddress(nodeA, getAddress(mesh));
  const bad = await getError(meshB.request(nodeA, 'test.echo', { text: 3 }, 5_000));
  t2.match(bad, { type: 'rejected', reason: 'bad_payload' });
  const unknown = await getError(meshB.request(nodeA, 'test.none', {}, 5_000));
  t2.match(unknown, { type: 'rejected', reason: 'unknown_topic' });
  t2.ok((await meshB.request(nodeA, 'test.echo', { text: 'x' }, 5_000)).isOk());
});

t.test('pending requests fail if the peer stops sending frames', async (t2) => {
  const mesh = await createMesh(t2, nodeA);
  const server = new WebSocketServer({ host: '127.0.0.1', port: 0 });
  t2.teardown(() => {
    for (const socket of server.clients) socket.terminate();
    server.close();
  });
  await once(server, 'listening');
  // Authenticates and then sends nothing.
  server.on('connection', (socket) =>
    acceptHandshake(socket, FrameReader.create(socket), clusterKey, nodeB),
  );
  mesh.setAddress(nodeB, `127.0.0.1:${(server.address() as { port: number }).port}`);
  const reply = await getError(mesh.request(nodeB, 'test.echo', { text: '' }, 600_000));
  t2.match(reply, { type: 'connection_lost' });
});

t.test('a peer that replies to pings is not considered silent while a handler runs', async (t2) => {
  const [meshA, meshB] = [await createMesh(t2, nodeA), await createMesh(t2, nodeB)];
  meshA.setAddress(nodeB, getAddress(meshB));
  const reply = await getError(meshA.request(nodeB, 'test.never', null, 4_500));
  t2.match(reply, { type: 'timeout' });
});

t.test('the send buffer stays bounded if a peer stops reading', async (t2) => {
  const meshA = await createMesh(t2, nodeA);
  const raw = await openRawSocket(t2, meshA);
  await initiateHandshake(raw, FrameReader.create(raw), clusterKey, nodeB, nodeA, 5_000);
  // The pong shows that the mesh has registered the connection.
  raw.send(encodeFrame({ type: 'ping' }));
  await once(raw, 'message');
  raw.pause();
  const text = 'x'.repeat(900_000);
  const errors: string[] = [];
  const pending: Promise<unknown>[] = [];
  for (let index = 0; index < 100; index++) {
    const request = meshA.request(nodeB, 'test.echo', { text }, 600_000);
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
