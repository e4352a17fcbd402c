/** Writes variants of a deployment's configuration to files for `switchwheel apply`. */

import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import * as v from 'valibot';
import type { DeploymentPlan } from '../deployment/schema.js';

const configurationSchema = v.looseObject({ services: v.array(v.looseObject({})) });

/** Writes the deployment's configuration with the given top-level members replaced; returns the path of the file. */
export const writeConfiguration = (
  plan: DeploymentPlan,
  folder: string,
  name: string,
  overrides: object,
): string => {
  mkdirSync(folder, { recursive: true });
  const file = join(folder, name);
  const configuration = v.parse(v.looseObject({}), plan.configuration);
  writeFileSync(file, JSON.stringify({ ...configuration, ...overrides }));
  return file;
};

/** Writes the deployment's configuration with a different queue limit for every service; returns the path of the file. */
export const writeChangedConfiguration = (
  plan: DeploymentPlan,
  folder: string,
  name: string,
  queueLimit: number,
): string => {
  const { services } = v.parse(configurationSchema, plan.configuration);
  return writeConfiguration(plan, folder, name, {
    services: services.map((service) => ({ ...service, waitlist: queueLimit })),
  });
};
