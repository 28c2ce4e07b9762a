import { readBundle, readHead } from '@lovagearch/configuration';
import { formatNodeConfiguration } from './formatResponses.js';
import { BaseCommand, operatorKeyFileFlag, settingsFlag } from './baseCommand.js';

/** Prints the published revision, its entries and the revision that each node applied. */
export class ShowCommand extends BaseCommand {
  static override summary = 'Show the published revision and the revision of each node.';

  static override flags = { settings: settingsFlag, 'operator-key-file': operatorKeyFileFlag };

  async run() {
    const { flags } = await this.parse(ShowCommand);
    const platform = await this.openPlatform(flags.settings);
    const admin = await this.createAdminClient(flags['operator-key-file']);
    const read = await readHead(platform.table);
    const head = read.isOk() ? read.value.head : null;
    if (read.isErr()) this.logger.warn(read.error.message);
    if (head !== null) this.log(`head: revision ${head.revision} by ${head.publisher}`);
    const bundle = await readBundle(platform.objects, head);
    if (bundle.isErr()) this.logger.warn(bundle.error.message);
    const entries = bundle.isOk() ? Object.entries(bundle.value.entries) : [];
    for (const [key, { revision, publisher, value }] of entries) {
      if (value !== null)
        this.log(`  ${key} since revision ${revision} by ${publisher ?? 'unknown'}`);
    }
    const answers = await admin.readAll(await this.listNodes(platform), 'configuration');
    const nodes = answers.map(({ node, result }) =>
      result.isOk() ? { node, configuration: result.value } : { node, error: result.error },
    );
    for (const { node, result: answer } of answers) this.log(formatNodeConfiguration(node, answer));
    return { head, nodes };
  }
}
