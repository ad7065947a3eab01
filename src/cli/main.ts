#!/usr/bin/env node
/** Executable of the command line. */
import { runCli } from './cli.js';

process.exitCode = await runCli(process.argv.slice(2));
