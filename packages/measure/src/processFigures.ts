import { readFileSync } from 'node:fs';
import type { ManagedProcess } from '@hickorybridge/replay';

/** Clock ticks a second in `/proc`; fixed by the Linux kernel's interface. */
const ticksPerSecond = 100;

const microsecondsPerSecond = 1_000_000;
const kilobytesPerMegabyte = 1_024;

/** Fields of `/proc/PID/stat` after the name of the process. */
const userTimeField = 11;
const systemTimeField = 12;

/** Gives the processor time that a process has used, in microseconds. */
export function processorMicroseconds(entry: ManagedProcess): number {
  return processorMicrosecondsOf(entry.processId ?? 0);
}

/** Gives the processor time that the process with a number has used, in microseconds. */
export function processorMicrosecondsOf(processId: number): number {
  const stat = readFileSync(`/proc/${processId}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[userTimeField]) + Number(fields[systemTimeField]);
  return (ticks * microsecondsPerSecond) / ticksPerSecond;
}

/** Gives the resident memory of a process, in megabytes. */
export function residentMegabytes(entry: ManagedProcess): number {
  return residentMegabytesOf(entry.processId ?? 0);
}

/** Gives the resident memory of the process with a number, in megabytes. */
export function residentMegabytesOf(processId: number): number {
  const status = readFileSync(`/proc/${processId}/status`, 'utf8');
  const kilobytes = Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1]);
  return Math.round((kilobytes / kilobytesPerMegabyte) * 10) / 10;
}
