/** Header fields from Node's HTTP parser. */

import type { IncomingMessage } from 'node:http';
import type { HeaderFields } from '@switchwheel/transport';

/** Returns the fields of a message in order, including repeated ones, with names in lower case. */
export const headerFieldsOf = ({ rawHeaders }: IncomingMessage): HeaderFields => {
  const fields: HeaderFields = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2)
    fields.push([(rawHeaders[index] ?? '').toLowerCase(), rawHeaders[index + 1] ?? '']);
  return fields;
};
