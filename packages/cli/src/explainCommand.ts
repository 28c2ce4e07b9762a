import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { getErrorMessage } from '@lovagearch/common';
import { Args } from '@oclif/core';
import { BaseCommand } from './baseCommand.js';
import { EXIT_BAD_INPUT, EXIT_FAILED } from './constants.js';
import { explainRequest, type LogEvent, parseLogLine } from './requestExplanation.js';

const formatLogEvent = ({ time, node, event, ...fields }: LogEvent, startMs: number): string => {
  const shown = { ...fields, level: undefined, request: undefined };
  return `${String(time - startMs).padStart(7)} ms  ${node ?? '-'}  ${event}  ${JSON.stringify(shown)}`;
};

/** Prints the gateway log events of one request and related state changes. */
export class ExplainCommand extends BaseCommand {
  static override summary =
    'Show the gateway log events of a request and state changes at that time.';

  static override strict = false;

  static override args = {
    request: Args.string({ description: 'ID of the request', required: true }),
    file: Args.string({ description: 'log files of one or more nodes', required: true }),
  };

  async run() {
    const { argv } = await this.parse(ExplainCommand);
    const [request = '', ...files] = argv.map(String);
    const lines: LogEvent[] = [];
    for (const file of files) lines.push(...(await this.readLog(file)));
    const explanation = explainRequest(lines, request);
    const [first] = explanation.steps;
    if (first === undefined) {
      return this.fail(EXIT_FAILED, [`request ${request} was not found in the logs`]);
    }
    for (const line of explanation.steps) this.log(formatLogEvent(line, first.time));
    if (explanation.context.length > 0) this.log('Changes around it:');
    for (const line of explanation.context) this.log(formatLogEvent(line, first.time));
    return explanation;
  }

  private async readLog(file: string): Promise<LogEvent[]> {
    const lines: LogEvent[] = [];
    try {
      for await (const text of createInterface({ input: createReadStream(file) })) {
        const line = parseLogLine(text);
        if (line !== undefined) lines.push(line);
      }
    } catch (error) {
      return this.fail(EXIT_BAD_INPUT, [`${file}: ${getErrorMessage(error)}`]);
    }
    return lines;
  }
}
