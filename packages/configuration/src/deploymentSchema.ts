import { z } from 'zod';
import { PolicyName } from './Deployment.js';
import { isPathPattern } from './pathPattern.js';

const maxDeadlineMilliseconds = 600_000;
const maxWeight = 1_000;
const maxRetentionSeconds = 86_400;
const secondsInTwoHours = 7_200;

const name = z
  .string()
  .regex(
    /^[a-z][a-z0-9-]{0,62}$/,
    'must be lower-case letters, digits and hyphens, as in "phase-control"',
  )
  .meta({ title: 'a name, as in "phase-control"' });

const hostName = z
  .string()
  .regex(
    /^(?=.{1,253}$)[a-z0-9]([a-z0-9-]*[a-z0-9])?(\.[a-z0-9]([a-z0-9-]*[a-z0-9])?)*$/,
    'must be a lower-case host name without a port, as in "hire.example.org"',
  )
  .meta({ title: 'a host name without a port, as in "hire.example.org"' });

const share = z.number().min(0).max(1);

const kind = z.strictObject({
  name: name.describe('Name of the kind, unique in its service.'),
  method: z
    .enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'])
    .describe('HTTP method.'),
  path: z
    .string()
    .refine(isPathPattern, 'must be a path pattern, as in "/boxes/:boxId" or "/files/*"')
    .meta({ title: 'a path pattern, as in "/boxes/:boxId"' })
    .describe(
      'Path pattern. A segment `:name` matches one segment that is not empty; a last segment `*` matches the rest of the path. The most specific pattern wins.',
    ),
  idempotent: z
    .boolean()
    .describe('Whether the request can run twice without harm. No default: it must be stated.'),
  deadlineMilliseconds: z
    .int()
    .min(1)
    .max(maxDeadlineMilliseconds)
    .describe('Time for the whole request, in milliseconds. Callers can only shorten it.'),
  weight: z
    .number()
    .gt(0)
    .max(maxWeight)
    .default(1)
    .describe('Weight in the schedule; at saturation low weights are shed first.'),
});

const service = z.strictObject({
  name: name.describe('Name of the service, unique in the deployment.'),
  hosts: z
    .array(hostName)
    .min(1)
    .describe('Host names under which callers ask for the service, without a port.'),
  kinds: z.array(kind).min(1).describe('Kinds of request.'),
});

const region = z.strictObject({
  name: name.describe('Name of the region, as in the settings of its nodes.'),
  failureDomains: z
    .array(name)
    .min(1)
    .describe('Failure domains of the region; unique in the deployment.'),
});

const routing = z.strictObject({
  policy: z
    .enum(Object.values(PolicyName))
    .default(PolicyName.adaptive)
    .describe('Routing policy; all but `adaptive` are baselines for measurements.'),
  subsetSize: z
    .int()
    .min(1)
    .max(1_024)
    .default(16)
    .describe('Backend servers of a service that one router uses at most.'),
  linkPriceMillisecondsPerKilobyte: z
    .number()
    .min(0)
    .max(1_000)
    .default(1)
    .describe('Price of the link between regions, in milliseconds of waiting for each kilobyte.'),
  retryShare: share.default(0.2).describe('Further tries as a share of first tries.'),
  hedgeShare: share.default(0.05).describe('Hedged requests as a share of requests.'),
  maxAttempts: z
    .int()
    .min(1)
    .max(10)
    .default(3)
    .describe('Tries for one request at most, the first included.'),
});

const measuring = z.strictObject({
  regionBytesPerSecond: z
    .int()
    .min(1)
    .default(64_000)
    .describe('Budget for measuring of each region, all its nodes together, in bytes a second.'),
  linkBytesPerSecond: z
    .int()
    .min(1)
    .default(16_000)
    .describe('Budget for measuring on the link between regions, each way, in bytes a second.'),
});

const idempotency = z.strictObject({
  retentionSeconds: z
    .int()
    .min(1)
    .max(maxRetentionSeconds)
    .default(secondsInTwoHours)
    .describe('Time for which a claimed key is remembered, in seconds.'),
});

/** Schema of a deployment file: the source of its checks, defaults and reference page. */
export const deploymentSchema = z.strictObject({
  name: name.describe('Name of the deployment.'),
  regions: z.array(region).min(1).max(16).describe('Regions, each with its failure domains.'),
  services: z.array(service).min(1).describe('Services and their kinds of request.'),
  routing: routing.prefault({}).describe('Choice of backend servers, retries, hedged requests.'),
  measuring: measuring.prefault({}).describe('Budgets for measuring.'),
  idempotency: idempotency.prefault({}).describe('At-most-once claims.'),
});
