import { setTimeout as waitMs } from 'node:timers/promises';
import { BoundedMap } from '@lovagearch/common';
import type { Vm } from '@lovagearch/platform-client';
import { Args, Flags } from '@oclif/core';
import { z } from 'zod';
import type { AdminClient } from './adminClient.js';
import { BaseCommand, operatorKeyFileFlag, settingsFlag } from './baseCommand.js';
import { EXIT_FAILED, MAX_PRINTED_DECISIONS_TRACKED, POLL_INTERVAL_MS } from './constants.js';

const decisionsSchema = z.object({ decisions: z.array(z.unknown()) });

interface NodeDecision {
  readonly node: string;
  readonly decision: unknown;
}

/** Prints the decisions that the nodes recorded for a request. */
export class DecisionsCommand extends BaseCommand {
  static override summary = 'Show the decisions of all nodes for a request.';

  static override args = {
    requestId: Args.string({ description: 'ID of the request', required: true }),
  };

  static override flags = {
    settings: settingsFlag,
    'operator-key-file': operatorKeyFileFlag,
    follow: Flags.boolean({ description: 'wait for further decisions until interrupted' }),
  };

  private readonly printedDecisions = BoundedMap.create<string, true>(
    MAX_PRINTED_DECISIONS_TRACKED,
  );

  async run() {
    const { args, flags } = await this.parse(DecisionsCommand);
    const platform = await this.openPlatform(flags.settings);
    const admin = await this.createAdminClient(flags['operator-key-file']);
    const vms = await this.listNodes(platform);
    let found = await this.printNewDecisions(admin, vms, args.requestId);
    while (flags.follow) {
      await waitMs(POLL_INTERVAL_MS);
      found = await this.printNewDecisions(admin, vms, args.requestId);
    }
    if (found.length === 0)
      return this.fail(EXIT_FAILED, [`no node has decisions for request ${args.requestId}`]);
    return { decisions: found };
  }

  /** Reads the decisions of all nodes, prints those not printed before and returns all of them. */
  private async printNewDecisions(admin: AdminClient, vms: readonly Vm[], requestId: string) {
    const path = `decisions?request_id=${encodeURIComponent(requestId)}`;
    const found: NodeDecision[] = [];
    for (const { node, result } of await admin.readAll(vms, path)) {
      if (result.isErr()) this.logger.warn(`Node ${node}: ${result.error.message}.`);
      const parsed = decisionsSchema.safeParse(result.unwrapOr(undefined));
      for (const decision of parsed.success ? parsed.data.decisions : []) {
        found.push({ node, decision });
        const line = JSON.stringify({ node, decision });
        if (!this.printedDecisions.has(line)) this.log(line);
        this.printedDecisions.set(line, true);
      }
    }
    return found;
  }
}
