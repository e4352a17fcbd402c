import * as v from 'valibot';
import type { Brand } from './brand.js';

/** The name of a node: one process of the fleet. */
export type NodeId = Brand<string, 'NodeId'>;
/** The name of an area (a zone of machines). */
export type ZoneName = Brand<string, 'ZoneName'>;
/** The name of a service that origins stand behind. */
export type ServiceName = Brand<string, 'ServiceName'>;
/** The name of a service class. */
export type ClassName = Brand<string, 'ClassName'>;
/** The name of a route. */
export type RouteName = Brand<string, 'RouteName'>;
/** The id one run of an origin gives itself. */
export type InstanceId = Brand<string, 'InstanceId'>;
/** The id of a fleet, made once when it is founded. */
export type FleetId = Brand<string, 'FleetId'>;
/** A duty that one node does at a time: `primary` or `keeper:<service>`. */
export type LeaseName = Brand<string, 'LeaseName'>;
/** An IP number and a port. */
export type Address = Brand<string, 'Address'>;
/** The id an operator's call bears, so that asking twice is safe. */
export type CommandId = Brand<string, 'CallId'>;
/** A SHA-256 in hex. */
export type Hash = Brand<string, 'Hash'>;
/** A version of an origin's program, as the origin names it. */
export type Release = Brand<string, 'Release'>;
/** The id of one request on its way through the fleet. */
export type RequestId = Brand<string, 'RequestId'>;

const word = /^[A-Za-z0-9][A-Za-z0-9._:@/+-]{0,127}$/;
const plain = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;
const spot = /^(?:(?:\d{1,3}\.){3}\d{1,3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/;
const hex = /^[0-9a-f]{64}$/;

const isWord = (raw: unknown): raw is string => typeof raw === 'string' && word.test(raw);
const isPlain = (raw: unknown): raw is string => typeof raw === 'string' && plain.test(raw);

export const isNodeId = (raw: unknown): raw is NodeId => isPlain(raw);
export const isZoneName = (raw: unknown): raw is ZoneName => isPlain(raw);
export const isServiceName = (raw: unknown): raw is ServiceName => isPlain(raw);
export const isClassName = (raw: unknown): raw is ClassName => isPlain(raw);
export const isRouteName = (raw: unknown): raw is RouteName => isPlain(raw);
export const isInstanceId = (raw: unknown): raw is InstanceId => isWord(raw);
export const isFleetId = (raw: unknown): raw is FleetId => isWord(raw);
export const isLeaseName = (raw: unknown): raw is LeaseName => isWord(raw);
export const isCommandId = (raw: unknown): raw is CommandId => isWord(raw);
export const isRelease = (raw: unknown): raw is Release => isWord(raw);
export const isRequestId = (raw: unknown): raw is RequestId => isWord(raw);
export const isHash = (raw: unknown): raw is Hash => typeof raw === 'string' && hex.test(raw);
export const isAddress = (raw: unknown): raw is Address => {
  if (typeof raw !== 'string' || !spot.test(raw)) return false;
  const port = Number(raw.slice(raw.lastIndexOf(':') + 1));
  if (port > 65535) return false;
  return (
    raw.startsWith('[') ||
    raw
      .slice(0, raw.lastIndexOf(':'))
      .split('.')
      .every((part) => Number(part) <= 255)
  );
};

export const nodeId = v.custom<NodeId>(
  isNodeId,
  'a node name: letters, digits, dot, dash, at most 64',
);
export const zoneName = v.custom<ZoneName>(
  isZoneName,
  'an area name: letters, digits, dot, dash, at most 64',
);
export const serviceName = v.custom<ServiceName>(
  isServiceName,
  'a service name: letters, digits, dot, dash, at most 64',
);
export const className = v.custom<ClassName>(
  isClassName,
  'a class name: letters, digits, dot, dash, at most 64',
);
export const routeName = v.custom<RouteName>(
  isRouteName,
  'a route name: letters, digits, dot, dash, at most 64',
);
export const instanceId = v.custom<InstanceId>(
  isInstanceId,
  'an instance id of at most 128 plain signs',
);
export const fleetId = v.custom<FleetId>(isFleetId, 'a fleet id of at most 128 plain signs');
export const leaseName = v.custom<LeaseName>(isLeaseName, 'a duty');
export const commandId = v.custom<CommandId>(isCommandId, 'a call id of at most 128 plain signs');
export const release = v.custom<Release>(isRelease, 'a release of at most 128 plain signs');
export const requestId = v.custom<RequestId>(isRequestId, 'an ask id');
export const hash = v.custom<Hash>(isHash, 'a SHA-256 in hex');
export const address = v.custom<Address>(
  isAddress,
  'an IP number and a port, such as 10.0.0.1:7000',
);

const need =
  <T extends string>(guard: (raw: unknown) => raw is T, what: string) =>
  (raw: string): T => {
    if (guard(raw)) return raw;
    throw new TypeError(`not ${what}: ${raw}`);
  };

/** For names the program itself makes; throws on a bad one, which is a mistake of the program. */
export const toNodeId = need(isNodeId, 'a node name');
export const toZoneName = need(isZoneName, 'an area name');
export const toServiceName = need(isServiceName, 'a service name');
export const toClassName = need(isClassName, 'a class name');
export const toInstanceId = need(isInstanceId, 'an instance id');
export const toFleetId = need(isFleetId, 'a fleet id');
export const toAddress = need(isAddress, 'an address');
export const toCommandId = need(isCommandId, 'a call id');
export const toHash = need(isHash, 'a hash');
export const toRequestId = need(isRequestId, 'an ask id');
export const toRelease = need(isRelease, 'a release');
const toLeaseName = need(isLeaseName, 'a duty');

export const primaryLease: LeaseName = toLeaseName('primary');
export const serviceLeaseOf = (service: ServiceName): LeaseName => toLeaseName(`keeper:${service}`);
