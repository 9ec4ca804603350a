#!/usr/bin/env node
import { ProcessSignals } from '@hickorybridge/utils';

const signals = new ProcessSignals({
  process,
  exit: (code) => process.exit(code),
  printError: (text) => process.stderr.write(text),
});

// Loaded after the signals are handled: a signal without a handler ends the process.
import('./main.js').then(({ main }) => main(signals));
