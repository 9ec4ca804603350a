import { createRequire } from 'node:module';

const packageFile = createRequire(import.meta.url)('../package.json') as { version: string };

/** Version of the command line. */
export const { version } = packageFile;
