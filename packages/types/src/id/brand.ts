declare const mark: unique symbol;

/** A primitive that only its own guard can tell apart from the bare one. */
export type Brand<T, N extends string> = T & { readonly [mark]: N };
