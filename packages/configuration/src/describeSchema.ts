import { match } from 'ts-pattern';
import { z } from 'zod';

/** The parts of a JSON schema that matter for a value in a settings file. */
export interface JsonSchema {
  readonly type?: string;
  /** What the value is, in words, where the type says too little. */
  readonly title?: string;
  readonly enum?: readonly unknown[];
  readonly minimum?: number;
  readonly maximum?: number;
  readonly exclusiveMinimum?: number;
  readonly minLength?: number;
  readonly minItems?: number;
  readonly items?: JsonSchema;
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly required?: readonly string[];
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

/** Says in words which values a JSON schema permits. */
export function describeJsonSchema(schema: JsonSchema): string {
  if (schema.title !== undefined) return schema.title;
  if (schema.enum !== undefined) {
    return `one of ${schema.enum.map((value) => JSON.stringify(value)).join(', ')}`;
  }
  return match(schema.type)
    .with('integer', () => `a whole number${describeRange(schema)}`)
    .with('number', () => `a number${describeRange(schema)}`)
    .with('boolean', () => 'true or false')
    .with('array', () => `an array of ${describeItems(schema.items)}`)
    .with('object', () => 'a table')
    .otherwise(() => 'a string in quotes');
}

function describeItems(items: JsonSchema | undefined): string {
  if (items?.title === undefined) return items?.type === 'object' ? 'tables' : 'strings';
  return `strings, each ${items.title}`;
}

function describeRange(schema: JsonSchema): string {
  const { minimum, maximum, exclusiveMinimum } = schema;
  const upper =
    maximum === undefined || maximum === Number.MAX_SAFE_INTEGER ? '' : ` to ${maximum}`;
  if (exclusiveMinimum !== undefined) return ` above ${exclusiveMinimum}${upper && `, up${upper}`}`;
  if (minimum === undefined || minimum === Number.MIN_SAFE_INTEGER) return '';
  return upper === '' ? `, at least ${minimum}` : ` from ${minimum}${upper}`;
}
