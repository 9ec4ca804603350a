import { appendFile, rename, writeFile } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';

const gapMilliseconds = 15;

/** Replaces a file by renaming, or in place in two parts, so that a reader may see the first only. */
export async function replaceSettings(
  file: string,
  text: string,
  atomically: boolean,
): Promise<void> {
  if (atomically) {
    await writeFile(`${file}.new`, text);
    await rename(`${file}.new`, file);
    return;
  }
  const half = Math.floor(text.length / 2);
  await writeFile(file, text.slice(0, half));
  await sleep(gapMilliseconds);
  await appendFile(file, text.slice(half));
}
