import { fail, succeed } from '@hickorybridge/types';
import type { Result } from '@hickorybridge/types';
import type { ConfigurationProblem } from './ConfigurationProblem.js';
import type { Deployment } from './Deployment.js';
import { checkDeployment } from './checkDeployment.js';
import { deploymentSchema } from './deploymentSchema.js';
import { parseWithSchema } from './parseWithSchema.js';

/** Parses and checks a deployment file (TOML). `fileName` appears in the problems. */
export function parseDeployment(
  text: string,
  fileName: string,
): Result<Deployment, ConfigurationProblem[]> {
  const parsed = parseWithSchema(deploymentSchema, text, fileName);
  if (!parsed.ok) return parsed;
  const deployment: Deployment = parsed.value.value;
  const problems = checkDeployment(deployment, fileName, parsed.value.keyLines);
  return problems.length === 0 ? succeed(deployment) : fail(problems);
}
