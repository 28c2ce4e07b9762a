import {
  findNodeAtLocation,
  getNodeValue,
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from 'jsonc-parser';
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import { MAX_REPORTED_ERRORS, MAX_SHOWN_VALUE_LENGTH } from './constants.js';
import type { SettingsError } from './errors.js';

type KeyPath = readonly (number | string)[];

interface ParsedSource {
  readonly text: string;
  readonly file: string;
  readonly root: Node;
}

// Error messages omit the values of these keys: an operator may enter a secret key instead of its digest.
const SECRET_KEY_PATTERN = /key|token|secret|sha256/i;

const getPosition = (text: string, offset: number) => {
  const before = text.slice(0, offset);
  const lineStart = before.lastIndexOf('\n') + 1;
  return { line: before.split('\n').length, column: offset - lineStart + 1 };
};

/** Finds the node at a path, or its closest existing ancestor. */
const findClosestNode = (root: Node, path: KeyPath): Node => {
  for (let { length } = path; length > 0; length--) {
    const node = findNodeAtLocation(root, path.slice(0, length));
    if (node !== undefined) return node;
  }
  return root;
};

const formatPath = (path: KeyPath): string => {
  let text = '';
  for (const part of path) {
    if (typeof part === 'number') text += `[${part}]`;
    else text += text === '' ? part : `.${part}`;
  }
  return text;
};

const formatValue = (path: KeyPath, value: unknown): string => {
  if (path.some((part) => typeof part === 'string' && SECRET_KEY_PATTERN.test(part))) {
    return typeof value === 'string' ? `a string of ${value.length} characters` : typeof value;
  }
  if (Array.isArray(value)) return 'an array';
  if (typeof value === 'object' && value !== null) return 'an object';
  const text = JSON.stringify(value);
  return text.length <= MAX_SHOWN_VALUE_LENGTH ? text : `${text.slice(0, MAX_SHOWN_VALUE_LENGTH)}…`;
};

const createError = (
  source: ParsedSource,
  type: SettingsError['type'],
  path: KeyPath,
  node: Node,
  message: string,
): SettingsError => ({
  type,
  file: source.file,
  ...getPosition(source.text, node.offset),
  key: formatPath(path),
  message,
});

const formatExpectation = (issue: z.core.$ZodIssue): string => {
  if (issue.message.startsWith('expected ')) return issue.message;
  if (issue.code === 'invalid_value') {
    return `expected ${issue.values.map((value) => JSON.stringify(value)).join(' or ')}`;
  }
  if (issue.code === 'invalid_type') return `expected ${issue.expected}`;
  return issue.message.charAt(0).toLowerCase() + issue.message.slice(1);
};

const createIssueErrors = (source: ParsedSource, issue: z.core.$ZodIssue): SettingsError[] => {
  const path = issue.path.map((part) => (typeof part === 'number' ? part : String(part)));
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => {
      const value = findClosestNode(source.root, [...path, key]);
      return createError(
        source,
        'unknown_key',
        [...path, key],
        value.parent ?? value,
        'unknown key',
      );
    });
  }
  const node = findNodeAtLocation(source.root, path);
  if (node === undefined) {
    const parent = findClosestNode(source.root, path);
    const message = `missing value: ${formatExpectation(issue)}`;
    return [createError(source, 'missing_value', path, parent, message)];
  }
  const shownValue = formatValue(path, getNodeValue(node));
  return [
    createError(
      source,
      'wrong_value',
      path,
      node,
      `${formatExpectation(issue)}, got ${shownValue}`,
    ),
  ];
};

const collectDuplicateKeys = (source: ParsedSource, node: Node, path: KeyPath): SettingsError[] => {
  const errors: SettingsError[] = [];
  const seen = new Set<string>();
  for (const [index, child] of (node.children ?? []).entries()) {
    if (node.type === 'array')
      errors.push(...collectDuplicateKeys(source, child, [...path, index]));
    if (node.type !== 'object') continue;
    const [name, value] = child.children ?? [];
    if (name === undefined || value === undefined) continue;
    const key = String(name.value);
    const childPath = [...path, key];
    if (seen.has(key))
      errors.push(createError(source, 'duplicate_key', childPath, name, 'given twice'));
    seen.add(key);
    errors.push(...collectDuplicateKeys(source, value, childPath));
  }
  return errors;
};

const createSyntaxError = (text: string, file: string, parseError: ParseError): SettingsError => ({
  type: 'syntax',
  file,
  ...getPosition(text, parseError.offset),
  key: '',
  message: `syntax error: ${printParseErrorCode(parseError.error)}`,
});

/**
 * Parses JSON with comments and trailing commas, and validates it against a schema.
 *
 * @param file file name for error messages
 * @returns the validated value, or up to `MAX_REPORTED_ERRORS` errors with their positions
 * @example
 * parseJsonc('{ "port": 80 } // web', 'a.jsonc', z.strictObject({ port: z.number() }));
 */
export const parseJsonc = <Schema extends z.ZodType>(
  text: string,
  file: string,
  schema: Schema,
): Result<z.infer<Schema>, readonly SettingsError[]> => {
  const parseErrors: ParseError[] = [];
  const root = parseTree(text, parseErrors, { allowTrailingComma: true });
  if (parseErrors.length > 0 || root === undefined) {
    const reportedErrors = parseErrors.slice(0, MAX_REPORTED_ERRORS);
    const errors = reportedErrors.map((parseError) => createSyntaxError(text, file, parseError));
    if (errors.length > 0) return err(errors);
    return err([
      { type: 'syntax', file, line: 1, column: 1, key: '', message: 'syntax error: empty file' },
    ]);
  }
  const source: ParsedSource = { text, file, root };
  const duplicates = collectDuplicateKeys(source, root, []);
  if (duplicates.length > 0) return err(duplicates.slice(0, MAX_REPORTED_ERRORS));
  const parsed = schema.safeParse(getNodeValue(root));
  if (parsed.success) return ok(parsed.data);
  const errors = parsed.error.issues.flatMap((issue) => createIssueErrors(source, issue));
  return err(errors.slice(0, MAX_REPORTED_ERRORS));
};

/** Returns the line and column (from 1) of a key in a JSON text, or of its closest existing ancestor. */
export const getKeyPosition = (text: string, path: KeyPath) => {
  const root = parseTree(text, [], { allowTrailingComma: true });
  if (root === undefined) return { line: 1, column: 1 };
  return getPosition(text, findClosestNode(root, path).offset);
};
