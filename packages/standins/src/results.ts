interface Matchable<Value, Failure> {
  readonly match: <A, B>(onOk: (value: Value) => A, onErr: (error: Failure) => B) => A | B;
}

/** Returns the value of a result; throws, and so fails the test, if it is an error. */
export const getValue = <Value, Failure>(result: Matchable<Value, Failure>): Value =>
  result.match(
    (value) => value,
    (error) => {
      throw new Error(`unexpected error: ${JSON.stringify(error)}`);
    },
  );

/** Returns the error of a result; throws, and so fails the test, if it is a value. */
export const getError = <Value, Failure>(result: Matchable<Value, Failure>): Failure =>
  result.match(
    () => {
      throw new Error('unexpected success');
    },
    (error) => error,
  );
