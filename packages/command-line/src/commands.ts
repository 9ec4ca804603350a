import { applyCommand } from './applyCommand.js';
import type { CommandDefinition } from './CommandDefinition.js';
import { validateCommand } from './validateCommand.js';

/** All verbs, in the order of the help. */
export const commands: readonly CommandDefinition[] = [applyCommand, validateCommand];
