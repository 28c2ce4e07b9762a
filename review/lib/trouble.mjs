const CHUNKS_PER_WRITE = 4096;

/**
 * Answers a request with a proper head and bytes that are no answer, until the caller closes.
 *
 * @param options `chunk` is the text of each chunk, `contentType` the type that the head names
 */
export const writeEndlessBody = (
  runner,
  { incoming, request },
  { chunk, contentType = 'application/json' },
) => {
  const { socket } = incoming;
  const lines = [
    'HTTP/1.1 200 OK',
    `Content-Type: ${contentType}`,
    'Transfer-Encoding: chunked',
    ...Object.entries(runner.createHeaders(request)).map(([name, value]) => `${name}: ${value}`),
  ];
  socket.write(`${lines.join('\r\n')}\r\n\r\n`);
  const chunks = Buffer.from(
    `${chunk.length.toString(16)}\r\n${chunk}\r\n`.repeat(CHUNKS_PER_WRITE),
  );
  return new Promise((resolve) => {
    const write = () => {
      while (!socket.destroyed && socket.write(chunks));
    };
    socket.on('drain', write);
    socket.once('close', resolve);
    write();
  });
};
