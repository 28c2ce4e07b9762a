import { computeSha256Hex } from '@lovagearch/common';
import { BaseCommand } from './baseCommand.js';
import { EXIT_BAD_INPUT, MAX_KEY_BYTES } from './constants.js';

/** Prints the SHA-256 of a key, which goes into account files and settings. */
export class HashKeyCommand extends BaseCommand {
  static override summary = 'Read a key on standard input and print its SHA-256.';

  async run() {
    await this.parse(HashKeyCommand);
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of process.stdin) {
      const bytes = Buffer.from(chunk);
      size += bytes.byteLength;
      if (size > MAX_KEY_BYTES) {
        return this.fail(EXIT_BAD_INPUT, [`a key has at most ${MAX_KEY_BYTES} B`]);
      }
      chunks.push(bytes);
    }
    const key = Buffer.concat(chunks).toString('utf8').trim();
    if (key === '') return this.fail(EXIT_BAD_INPUT, ['standard input holds no key']);
    const sha256 = computeSha256Hex(key);
    this.log(sha256);
    return { sha256 };
  }
}
