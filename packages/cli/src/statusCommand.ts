import { BaseCommand, operatorKeyFileFlag, settingsFlag } from './baseCommand.js';
import { formatEndpoints, formatNodeAnswer, formatStores } from './formatAnswers.js';
import { EXIT_FAILED } from './constants.js';

/** Prints all nodes, and the endpoints and stores that the first responding node reports. */
export class StatusCommand extends BaseCommand {
  static override summary = 'Show nodes, endpoints and stores.';

  static override flags = { settings: settingsFlag, 'operator-key-file': operatorKeyFileFlag };

  async run() {
    const { flags } = await this.parse(StatusCommand);
    const platform = await this.openPlatform(flags.settings);
    const admin = await this.openAdmin(flags['operator-key-file']);
    const vms = await this.listNodes(platform);
    const answers = await admin.readAll(vms, 'node');
    const nodes = answers.map(({ node, answer }) =>
      answer.isOk() ? { node, status: answer.value } : { node, error: answer.error },
    );
    for (const { node, answer } of answers) this.log(formatNodeAnswer(node, answer));
    const first = answers.findIndex(({ answer }) => answer.isOk());
    const vm = vms[first];
    if (vm === undefined) return this.fail(EXIT_FAILED, ['no node responded']);
    const endpoints = (await admin.read(vm, 'endpoints')).unwrapOr(null);
    const stores = (await admin.read(vm, 'stores')).unwrapOr(null);
    for (const line of formatEndpoints(endpoints)) this.log(line);
    for (const line of formatStores(stores)) this.log(line);
    return { nodes, endpoints, stores };
  }
}
