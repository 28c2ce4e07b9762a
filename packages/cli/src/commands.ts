import { CheckCommand } from './checkCommand.js';
import { DecisionsCommand } from './decisionsCommand.js';
import { ExplainCommand } from './explainCommand.js';
import { HashKeyCommand } from './hashKeyCommand.js';
import { PublishCommand } from './publishCommand.js';
import { ShowCommand } from './showCommand.js';
import { StatusCommand } from './statusCommand.js';
import { WhereCommand } from './whereCommand.js';

/** Commands by name; oclif loads this export, which package.json names. */
export const COMMANDS = {
  check: CheckCommand,
  decisions: DecisionsCommand,
  explain: ExplainCommand,
  'hash-key': HashKeyCommand,
  publish: PublishCommand,
  show: ShowCommand,
  status: StatusCommand,
  where: WhereCommand,
};
