import { setTimeout as waitMs } from 'node:timers/promises';
import { createId, processClock } from '@lovagearch/common';
import { publishConfiguration } from '@lovagearch/configuration';
import { Flags } from '@oclif/core';
import { z } from 'zod';
import type { AdminClient } from './adminClient.js';
import { operatorKeyFileFlag, settingsFlag } from './baseCommand.js';
import { ConfigurationCommand, directoryArgs } from './configurationCommand.js';
import {
  EXIT_FAILED,
  INITIAL_BACKOFF_MS,
  MAX_BACKOFF_MS,
  MAX_WAIT_SECONDS,
  POLL_INTERVAL_MS,
} from './constants.js';
import { formatPublishError } from './formatErrors.js';
import type { PlatformClients } from './platformClients.js';
import { getDefaultPublisher } from './defaultPublisher.js';

const MS_PER_SECOND = 1_000;
const configurationResponseSchema = z.object({ revision: z.number().int() });

const waitBeforeRetry = async (attempt: number): Promise<void> => {
  const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** attempt);
  // Jitter keeps publishers that conflicted from conflicting again on their next attempt.
  await waitMs(backoffMs * (0.5 + Math.random() / 2));
};

/** Validates and publishes configuration files. */
export class PublishCommand extends ConfigurationCommand {
  static override args = directoryArgs;

  static override strict = false;

  static override summary = 'Check and publish configuration files.';

  static override description =
    'An entry whose file was removed is deleted only if the same publisher published it last. ' +
    'Exit codes: 0 published, 1 not active on all nodes in time, 2 invalid usage or files, 3 conflict, ' +
    '4 platform unavailable.';

  static override flags = {
    settings: settingsFlag,
    name: Flags.string({
      description: 'publisher name; default: derived from user, host and directories',
    }),
    wait: Flags.integer({
      description: 'seconds to wait until every node reports the revision',
      min: 0,
      max: MAX_WAIT_SECONDS,
    }),
    'operator-key-file': operatorKeyFileFlag,
  };

  async run() {
    const { argv, flags } = await this.parse(PublishCommand);
    const directories = argv.map(String);
    const { entries } = await this.collect(directories);
    const platform = await this.openPlatform(flags.settings);
    // Read the operator key first, so that a missing key fails before anything is published.
    const admin =
      flags.wait === undefined
        ? undefined
        : await this.createAdminClient(flags['operator-key-file']);
    const published = await publishConfiguration({
      table: platform.table,
      objects: platform.objects,
      entries,
      publisher: flags.name ?? getDefaultPublisher(directories),
      createAttemptId: () => createId('publish'),
      waitBeforeRetry,
    });
    if (published.isErr()) {
      const { exitCode, lines } = formatPublishError(published.error);
      return this.fail(exitCode, lines);
    }
    const { revision, changed, deleted } = published.value;
    for (const key of deleted) this.log(`deleted ${key}`);
    this.log(`revision ${revision}, ${changed.length} entries changed`);
    if (admin !== undefined) {
      await this.waitForNodes(platform, admin, revision, (flags.wait ?? 0) * MS_PER_SECOND);
      this.log('in force on every node');
    }
    return published.value;
  }

  private async waitForNodes(
    platform: PlatformClients,
    admin: AdminClient,
    revision: number,
    timeoutMs: number,
  ): Promise<void> {
    const deadlineMs = processClock.nowMs() + timeoutMs;
    for (;;) {
      const results = await admin.readAll(await this.listNodes(platform), 'configuration');
      const laggingNodes = results.filter(({ result }) => {
        const parsed = configurationResponseSchema.safeParse(result.unwrapOr(undefined));
        return !parsed.success || parsed.data.revision < revision;
      });
      if (laggingNodes.length === 0 && results.length > 0) return;
      if (processClock.nowMs() >= deadlineMs) {
        const names = laggingNodes.map(({ node }) => node).join(', ');
        this.fail(EXIT_FAILED, [`revision ${revision} is not reported by: ${names || 'any node'}`]);
      }
      await waitMs(POLL_INTERVAL_MS);
    }
  }
}
