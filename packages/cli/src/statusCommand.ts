import { BaseCommand, operatorKeyFileFlag, settingsFlag } from './baseCommand.js';
import { formatEndpoints, formatNodeStatus, formatStores } from './formatResponses.js';
import { EXIT_FAILED } from './constants.js';

/** Prints all nodes, and the endpoints and stores that the first responding node reports. */
export class StatusCommand extends BaseCommand {
  static override summary = 'Show nodes, endpoints and stores.';

  static override flags = { settings: settingsFlag, 'operator-key-file': operatorKeyFileFlag };

  async run() {
    const { flags } = await this.parse(StatusCommand);
    const platform = await this.openPlatform(flags.settings);
    const admin = await this.createAdminClient(flags['operator-key-file']);
    const vms = await this.listNodes(platform);
    const results = await admin.readAll(vms, 'node');
    const nodes = results.map(({ node, result }) =>
      result.isOk() ? { node, status: result.value } : { node, error: result.error },
    );
    for (const { node, result: answer } of results) this.log(formatNodeStatus(node, answer));
    const firstRespondingIndex = results.findIndex(({ result: answer }) => answer.isOk());
    const vm = vms[firstRespondingIndex];
    if (vm === undefined) return this.fail(EXIT_FAILED, ['no node responded']);
    const endpoints = (await admin.read(vm, 'endpoints')).unwrapOr(null);
    const stores = (await admin.read(vm, 'stores')).unwrapOr(null);
    for (const line of formatEndpoints(endpoints)) this.log(line);
    for (const line of formatStores(stores)) this.log(line);
    return { nodes, endpoints, stores };
  }
}
