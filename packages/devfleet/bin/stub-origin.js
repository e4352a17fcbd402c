#!/usr/bin/env node
import '../dist/origin/stub-origin.js';
