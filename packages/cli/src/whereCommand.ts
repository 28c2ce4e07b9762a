import { getErrorMessage } from '@lovagearch/common';
import { Flags } from '@oclif/core';
import { Agent, request } from 'undici';
import { BaseCommand } from './baseCommand.js';
import {
  ADMIN_TIMEOUT_MS,
  EXIT_BAD_INPUT,
  EXIT_FAILED,
  EXIT_PLATFORM_UNAVAILABLE,
  MAX_ADMIN_RESPONSE_BYTES,
} from './constants.js';
import { explanationSchema, formatExplanation } from './formatExplanation.js';

const BAD_REQUEST = 400;
const OK = 200;

/** Prints where a gateway VM would send a described request now, and why. Nothing is sent to an endpoint. */
export class WhereCommand extends BaseCommand {
  static override summary = 'Show where a gateway VM would send a request now, and why.';

  static override flags = {
    node: Flags.string({ description: 'control address of the VM, HOST:PORT', required: true }),
    host: Flags.string({ description: 'host that the caller addresses', required: true }),
    path: Flags.string({ description: 'path of the request', required: true }),
    account: Flags.string({ description: 'name of the client account' }),
    model: Flags.string({ description: 'model of the request' }),
    part: Flags.string({
      description: 'prompt part as ID:TOKENS, in order; the last one is specific to the request',
      multiple: true,
    }),
    'prompt-tokens': Flags.integer({ description: 'tokens of the prompt; default: of its parts' }),
    'output-tokens': Flags.integer({ description: 'longest output in tokens' }),
    'time-limit-ms': Flags.integer({ description: 'time limit of the caller' }),
  };

  async run() {
    const { flags } = await this.parse(WhereCommand);
    const parts = flags.part ?? [];
    const partTokens = parts.reduce((sum, part) => sum + Number(part.split(':').at(-1)), 0);
    const query = new URLSearchParams({ host: flags.host, path: flags.path });
    const optional = {
      account: flags.account,
      model: flags.model,
      parts: parts.length === 0 ? undefined : parts.join(','),
      promptTokens: flags['prompt-tokens'] ?? (parts.length === 0 ? undefined : partTokens),
      outputTokens: flags['output-tokens'],
      timeLimitMs: flags['time-limit-ms'],
    };
    for (const [name, value] of Object.entries(optional))
      if (value !== undefined) query.set(name, String(value));
    const explanation = await this.readExplanation(flags.node, query);
    if (explanation.type === 'refused') return this.fail(EXIT_FAILED, [explanation.reason]);
    for (const line of formatExplanation(explanation)) this.log(line);
    return explanation;
  }

  private async readExplanation(node: string, query: URLSearchParams) {
    const agent = new Agent({
      connect: { timeout: ADMIN_TIMEOUT_MS },
      maxResponseSize: MAX_ADMIN_RESPONSE_BYTES,
    });
    const response = await request(`http://${node}/peer/where?${query.toString()}`, {
      dispatcher: agent,
      headersTimeout: ADMIN_TIMEOUT_MS,
      bodyTimeout: ADMIN_TIMEOUT_MS,
    })
      .then(async ({ statusCode, body }) => ({ statusCode, text: await body.text() }))
      .catch((error: unknown) =>
        this.fail(EXIT_PLATFORM_UNAVAILABLE, [`${node}: ${getErrorMessage(error)}`]),
      )
      .finally(() => agent.close());
    if (response.statusCode === BAD_REQUEST) return this.fail(EXIT_BAD_INPUT, [response.text]);
    if (response.statusCode !== OK)
      return this.fail(EXIT_PLATFORM_UNAVAILABLE, [`${node}: HTTP status ${response.statusCode}`]);
    const parsed = explanationSchema.safeParse(JSON.parse(response.text));
    if (parsed.success) return parsed.data;
    return this.fail(EXIT_PLATFORM_UNAVAILABLE, [`${node}: unexpected response format`]);
  }
}
