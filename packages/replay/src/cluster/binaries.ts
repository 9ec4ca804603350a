import { fileURLToPath } from 'node:url';

/** Compiled programs that a deployment consists of, as absolute paths. */
export const binaries = {
  node: packagePath('node/dist/bin.js'),
  commandLine: packagePath('command-line/dist/bin.js'),
  store: packagePath('stand-ins/dist/storeBin.js'),
  backendServer: packagePath('stand-ins/dist/backendServerBin.js'),
} as const;

/** Gives the path of a file of this repository, from its root. */
export function repositoryPath(path: string): string {
  return fileURLToPath(new URL(`../../../../${path}`, import.meta.url));
}

function packagePath(path: string): string {
  return repositoryPath(`packages/${path}`);
}
