import { applyCommand } from './applyCommand.js';
import { checkCommand } from './checkCommand.js';
import type { CommandDefinition } from './CommandDefinition.js';
import { diffCommand } from './diffCommand.js';
import { drainCommand } from './drainCommand.js';
import { explainCommand } from './explainCommand.js';
import { initCommand } from './initCommand.js';
import { statusCommand } from './statusCommand.js';
import { topCommand } from './topCommand.js';
import { validateCommand } from './validateCommand.js';

/** All verbs, in the order of the help. */
export const commands: readonly CommandDefinition[] = [
  initCommand,
  validateCommand,
  checkCommand,
  diffCommand,
  applyCommand,
  statusCommand,
  topCommand,
  explainCommand,
  drainCommand,
];
