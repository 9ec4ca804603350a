import { z } from 'zod';

/** The parts of a JSON schema that matter for a value in a settings file. */
interface JsonSchema {
  readonly type?: string;
  readonly enum?: readonly unknown[];
  readonly minimum?: number;
  readonly maximum?: number;
  readonly exclusiveMinimum?: number;
  readonly minLength?: number;
  readonly minItems?: number;
  readonly items?: JsonSchema;
  readonly description?: string;
  readonly default?: unknown;
}

/** Says in words which values a schema permits, as in `a whole number from 1 to 10`. */
export function describeSchema(schema: z.ZodType): string {
  return describeJsonSchema(toInputSchema(schema));
}

/** Gives the JSON schema of what an operator writes, with defaults and descriptions. */
export function toInputSchema(schema: z.ZodType): JsonSchema {
  return z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any' }) as JsonSchema;
}

function describeJsonSchema(schema: JsonSchema): string {
  if (schema.enum !== undefined) {
    return `one of ${schema.enum.map((value) => JSON.stringify(value)).join(', ')}`;
  }
  switch (schema.type) {
    case 'integer':
      return `a whole number${describeRange(schema)}`;
    case 'number':
      return `a number${describeRange(schema)}`;
    case 'boolean':
      return 'true or false';
    case 'array':
      return `an array of ${schema.items?.type === 'object' ? 'tables' : 'strings'}`;
    case 'object':
      return 'a table';
    default:
      return 'a string in quotes';
  }
}

function describeRange(schema: JsonSchema): string {
  const { minimum, maximum, exclusiveMinimum } = schema;
  const upper =
    maximum === undefined || maximum === Number.MAX_SAFE_INTEGER ? '' : ` to ${maximum}`;
  if (exclusiveMinimum !== undefined) return ` above ${exclusiveMinimum}${upper && `, up${upper}`}`;
  if (minimum === undefined || minimum === Number.MIN_SAFE_INTEGER) return '';
  return upper === '' ? `, at least ${minimum}` : ` from ${minimum}${upper}`;
}
