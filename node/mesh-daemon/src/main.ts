#!/usr/bin/env node
import process from 'node:process';
import {HeldSignal} from './deferred-signal.js';

// Held before the other modules are loaded, which takes a while: without a handler the signal would end the process.
const reload = new HeldSignal(process, 'SIGHUP');
const {runProgram} = await import('./run-program.js');
process.exit(await runProgram(reload));
