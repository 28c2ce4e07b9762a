import { computeSha256Hex } from '@lovagearch/common';
import { BaseCommand } from './baseCommand.js';
import { EXIT_BAD_INPUT, MAX_KEY_BYTES } from './constants.js';

/** Prints the SHA-256 of an API or operator key for use in account files and settings. */
export class HashKeyCommand extends BaseCommand {
  static override summary = 'Read a key from standard input and print its SHA-256 hash.';

  async run() {
    await this.parse(HashKeyCommand);
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of process.stdin) {
      const bytes = Buffer.from(chunk);
      size += bytes.byteLength;
      if (size > MAX_KEY_BYTES) {
        return this.fail(EXIT_BAD_INPUT, [`key exceeds ${MAX_KEY_BYTES} bytes`]);
      }
      chunks.push(bytes);
    }
    const key = Buffer.concat(chunks).toString('utf8').trim();
    if (key === '') return this.fail(EXIT_BAD_INPUT, ['no key on standard input']);
    const sha256 = computeSha256Hex(key);
    this.log(sha256);
    return { sha256 };
  }
}
