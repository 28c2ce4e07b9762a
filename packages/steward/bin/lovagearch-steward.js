#!/usr/bin/env node
import { runMain } from '../dist/main.js';

await runMain();
