#!/usr/bin/env node
import '../dist/origin/standin.js';
