import { readHead } from '@lovagearch/configuration';
import { BaseCommand, operatorKeyFileFlag, settingsFlag } from './baseCommand.js';

/** Shows which revision is in force, and where. */
export class ShowCommand extends BaseCommand {
  static override summary = 'Show the published revision and the revision of each node.';

  static override flags = { settings: settingsFlag, 'operator-key-file': operatorKeyFileFlag };

  async run() {
    const { flags } = await this.parse(ShowCommand);
    const platform = await this.openPlatform(flags.settings);
    const admin = await this.openAdmin(flags['operator-key-file']);
    const read = await readHead(platform.table);
    const head = read.isOk() ? read.value.head : null;
    if (read.isErr()) this.messages.warn(read.error.message);
    if (head !== null) this.log(`head: revision ${head.revision} by ${head.publisher}`);
    for (const [key, { revision }] of Object.entries(head?.entries ?? {})) {
      this.log(`  ${key} since revision ${revision}`);
    }
    const answers = await admin.readAll(await this.listNodes(platform), 'configuration');
    const nodes = answers.map(({ node, answer }) =>
      answer.isOk() ? { node, configuration: answer.value } : { node, error: answer.error },
    );
    for (const node of nodes) this.log(JSON.stringify(node));
    return { head, nodes };
  }
}
