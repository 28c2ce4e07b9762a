import { once } from 'node:events';
import { connect, createServer } from 'node:net';

/**
 * A TCP link that can be cut. As on a network, nothing passes while it is cut, and what waits at its ends passes
 * when it is whole again, unless the sender has reset the connection.
 */
export class Link {
  isCut = false;

  pairs = new Set();

  /** @param target host and port behind the link */
  static async start(target) {
    const link = new Link();
    link.target = target;
    link.server = createServer({ pauseOnConnect: true, allowHalfOpen: true }, (near) =>
      link.open(near),
    );
    link.server.listen(0, '127.0.0.1');
    await once(link.server, 'listening');
    return link;
  }

  get port() {
    return this.server.address().port;
  }

  cut() {
    this.isCut = true;
    for (const { near, far } of this.pairs) {
      near.pause();
      far?.pause();
    }
  }

  heal() {
    this.isCut = false;
    for (const pair of this.pairs) this.join(pair);
  }

  stop() {
    this.server.close();
    for (const { near, far } of this.pairs) {
      near.destroy();
      far?.destroy();
    }
  }

  open(near) {
    const pair = { near, far: undefined };
    this.pairs.add(pair);
    near.setNoDelay(true);
    const end = () => {
      this.pairs.delete(pair);
      pair.far?.destroy();
    };
    near.on('error', end);
    near.on('close', end);
    if (!this.isCut) this.join(pair);
  }

  join(pair) {
    const { near } = pair;
    if (pair.far === undefined) {
      const far = connect({ ...this.target, allowHalfOpen: true, noDelay: true });
      Object.assign(pair, { far });
      far.on('error', () => near.destroy());
      far.on('close', () => near.destroy());
      near.on('data', (chunk) => far.write(chunk));
      near.on('end', () => far.end());
      far.on('data', (chunk) => near.write(chunk));
      far.on('end', () => near.end());
    }
    near.resume();
    pair.far.resume();
  }
}
