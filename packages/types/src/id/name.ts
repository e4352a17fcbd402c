/**
 * Names and ids as branded strings. Each has a type guard (`isX`), a valibot schema for untrusted input
 * (`x`), and a checked conversion for values that the program itself produces (`toX`), which throws a
 * TypeError because an invalid value there is a bug.
 */

import * as v from 'valibot';
import type { Brand } from './brand.js';

const identifierPattern = /^[A-Za-z0-9][A-Za-z0-9._:@/+-]{0,127}$/;
const shortNamePattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;
const ipAndPortPattern = /^(?:(?:\d{1,3}\.){3}\d{1,3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/;
const sha256HexPattern = /^[0-9a-f]{64}$/;
const maxPort = 65535;
const maxOctet = 255;

const isShortName = (text: string): boolean => shortNamePattern.test(text);
const isIdentifier = (text: string): boolean => identifierPattern.test(text);
const isSha256Hex = (text: string): boolean => sha256HexPattern.test(text);

const isIpAndPort = (text: string): boolean => {
  if (!ipAndPortPattern.test(text)) return false;
  const colonIndex = text.lastIndexOf(':');
  if (Number(text.slice(colonIndex + 1)) > maxPort) return false;
  if (text.startsWith('[')) return true;
  return text
    .slice(0, colonIndex)
    .split('.')
    .every((octet) => Number(octet) <= maxOctet);
};

/** Type guard, schema and conversion of one branded string type. */
interface BrandedString<T extends string> {
  readonly is: (raw: unknown) => raw is T;
  readonly schema: v.CustomSchema<T, v.ErrorMessage<v.CustomIssue> | undefined>;
  /** Throws a TypeError if the guard rejects the value. */
  readonly from: (raw: string) => T;
}

/** Derives guard, schema and conversion of a branded string from a validity check. */
const brandedString = <T extends string>(
  isValid: (text: string) => boolean,
  schemaMessage: string,
  noun: string,
): BrandedString<T> => {
  const is = (raw: unknown): raw is T => typeof raw === 'string' && isValid(raw);
  return {
    is,
    schema: v.custom<T>(is, schemaMessage),
    from: (raw) => {
      if (is(raw)) return raw;
      throw new TypeError(`expected ${noun}, got ${raw}`);
    },
  };
};

/** Name of a node, i.e. of one process in the fleet; at most 64 characters. */
export type NodeId = Brand<string, 'NodeId'>;
const nodeIdBrand = brandedString<NodeId>(
  isShortName,
  'a node name: letters, digits, dot, dash, at most 64',
  'a node name',
);
/** Whether a value is a valid {@link NodeId}. */
export const isNodeId = nodeIdBrand.is;
/** Schema of a {@link NodeId}. */
export const nodeId = nodeIdBrand.schema;
/** Converts a string to a {@link NodeId}; throws a TypeError if it is not valid. */
export const toNodeId = nodeIdBrand.from;

/** Name of an availability zone (`area` in settings and on the wire); at most 64 characters. */
export type ZoneName = Brand<string, 'ZoneName'>;
const zoneNameBrand = brandedString<ZoneName>(
  isShortName,
  'an area name: letters, digits, dot, dash, at most 64',
  'a zone name',
);
/** Whether a value is a valid {@link ZoneName}. */
export const isZoneName = zoneNameBrand.is;
/** Schema of a {@link ZoneName}. */
export const zoneName = zoneNameBrand.schema;
/** Converts a string to a {@link ZoneName}; throws a TypeError if it is not valid. */
export const toZoneName = zoneNameBrand.from;

/** Name of a service, i.e. of a group of interchangeable origins; at most 64 characters. */
export type ServiceName = Brand<string, 'ServiceName'>;
const serviceNameBrand = brandedString<ServiceName>(
  isShortName,
  'a service name: letters, digits, dot, dash, at most 64',
  'a service name',
);
/** Whether a value is a valid {@link ServiceName}. */
export const isServiceName = serviceNameBrand.is;
/** Schema of a {@link ServiceName}. */
export const serviceName = serviceNameBrand.schema;
/** Converts a string to a {@link ServiceName}; throws a TypeError if it is not valid. */
export const toServiceName = serviceNameBrand.from;

/** Name of a service class, which gets a share of a service's capacity; at most 64 characters. */
export type ServiceClassName = Brand<string, 'ServiceClassName'>;
const serviceClassNameBrand = brandedString<ServiceClassName>(
  isShortName,
  'a class name: letters, digits, dot, dash, at most 64',
  'a class name',
);
/** Whether a value is a valid {@link ServiceClassName}. */
export const isServiceClassName = serviceClassNameBrand.is;
/** Schema of a {@link ServiceClassName}. */
export const serviceClassName = serviceClassNameBrand.schema;
/** Converts a string to a {@link ServiceClassName}; throws a TypeError if it is not valid. */
export const toServiceClassName = serviceClassNameBrand.from;

/** Name of a route of the configuration; at most 64 characters. */
export type RouteName = Brand<string, 'RouteName'>;
const routeNameBrand = brandedString<RouteName>(
  isShortName,
  'a route name: letters, digits, dot, dash, at most 64',
  'a route name',
);
/** Whether a value is a valid {@link RouteName}. */
export const isRouteName = routeNameBrand.is;
/** Schema of a {@link RouteName}. */
export const routeName = routeNameBrand.schema;
/** Converts a string to a {@link RouteName}; throws a TypeError if it is not valid. */
export const toRouteName = routeNameBrand.from;

/** Id of one run of an origin, chosen by the origin itself; at most 128 characters. */
export type InstanceId = Brand<string, 'InstanceId'>;
const instanceIdBrand = brandedString<InstanceId>(
  isIdentifier,
  'an instance id of at most 128 plain signs',
  'an instance id',
);
/** Whether a value is a valid {@link InstanceId}. */
export const isInstanceId = instanceIdBrand.is;
/** Schema of a {@link InstanceId}. */
export const instanceId = instanceIdBrand.schema;
/** Converts a string to a {@link InstanceId}; throws a TypeError if it is not valid. */
export const toInstanceId = instanceIdBrand.from;

/** Id of a fleet, generated once when the fleet is bootstrapped. */
export type FleetId = Brand<string, 'FleetId'>;
const fleetIdBrand = brandedString<FleetId>(
  isIdentifier,
  'a fleet id of at most 128 plain signs',
  'a fleet id',
);
/** Whether a value is a valid {@link FleetId}. */
export const isFleetId = fleetIdBrand.is;
/** Schema of a {@link FleetId}. */
export const fleetId = fleetIdBrand.schema;
/** Converts a string to a {@link FleetId}; throws a TypeError if it is not valid. */
export const toFleetId = fleetIdBrand.from;

/** Name of a lease, which one node holds at a time: `primary` or `keeper:<service>`. */
export type LeaseName = Brand<string, 'LeaseName'>;
const leaseNameBrand = brandedString<LeaseName>(isIdentifier, 'a lease name', 'a lease name');
/** Whether a value is a valid {@link LeaseName}. */
export const isLeaseName = leaseNameBrand.is;
/** Schema of a {@link LeaseName}. */
export const leaseName = leaseNameBrand.schema;

/** Idempotency key of an operator's command: a command that is sent again takes effect only once. */
export type CommandId = Brand<string, 'CommandId'>;
const commandIdBrand = brandedString<CommandId>(
  isIdentifier,
  'a call id of at most 128 plain signs',
  'a command id',
);
/** Whether a value is a valid {@link CommandId}. */
export const isCommandId = commandIdBrand.is;
/** Schema of a {@link CommandId}. */
export const commandId = commandIdBrand.schema;
/** Converts a string to a {@link CommandId}; throws a TypeError if it is not valid. */
export const toCommandId = commandIdBrand.from;

/** Version of an origin's software, as the origin reports it. */
export type Release = Brand<string, 'Release'>;
const releaseBrand = brandedString<Release>(
  isIdentifier,
  'a release of at most 128 plain signs',
  'a release',
);
/** Whether a value is a valid {@link Release}. */
export const isRelease = releaseBrand.is;
/** Schema of a {@link Release}. */
export const release = releaseBrand.schema;
/** Converts a string to a {@link Release}; throws a TypeError if it is not valid. */
export const toRelease = releaseBrand.from;

/** Id of a client request, the same on every node that handles it. */
export type RequestId = Brand<string, 'RequestId'>;
const requestIdBrand = brandedString<RequestId>(isIdentifier, 'a request id', 'a request id');
/** Whether a value is a valid {@link RequestId}. */
export const isRequestId = requestIdBrand.is;
/** Schema of a {@link RequestId}. */
export const requestId = requestIdBrand.schema;
/** Converts a string to a {@link RequestId}; throws a TypeError if it is not valid. */
export const toRequestId = requestIdBrand.from;

/** SHA-256 digest as 64 lower-case hexadecimal digits. */
export type Hash = Brand<string, 'Hash'>;
const hashBrand = brandedString<Hash>(isSha256Hex, 'a SHA-256 in hex', 'a hash');
/** Whether a value is a valid {@link Hash}. */
export const isHash = hashBrand.is;
/** Schema of a {@link Hash}. */
export const hash = hashBrand.schema;
/** Converts a string to a {@link Hash}; throws a TypeError if it is not valid. */
export const toHash = hashBrand.from;

/** IP address and port, such as `10.0.0.1:7000` or `[::1]:7000`. */
export type Address = Brand<string, 'Address'>;
const addressBrand = brandedString<Address>(
  isIpAndPort,
  'an IP number and a port, such as 10.0.0.1:7000',
  'an address',
);
/** Whether a value is a valid {@link Address}. */
export const isAddress = addressBrand.is;
/** Schema of a {@link Address}. */
export const address = addressBrand.schema;
/** Converts a string to a {@link Address}; throws a TypeError if it is not valid. */
export const toAddress = addressBrand.from;

/** Name of the lease that the primary store holds. */
export const primaryLease: LeaseName = leaseNameBrand.from('primary');

/** Name of the lease that a service's leader, one of the shields, holds. */
export const serviceLeaseOf = (service: ServiceName): LeaseName =>
  leaseNameBrand.from(`keeper:${service}`);
