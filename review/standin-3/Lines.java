import java.io.*;
import java.nio.charset.StandardCharsets;

/** Reads lines that end in CR LF, of bytes as ISO 8859-1. */
class Lines {
    private final InputStream in;
    private final byte[] buffer;
    private int from, to;
    long byteCount;

    Lines(InputStream in, int bufferBytes) {
        this.in = in;
        buffer = new byte[bufferBytes];
    }

    /** The next line without its end, or null at the end of the stream (what stood before is lost). */
    String next() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream(80);
        while (true) {
            if (from == to) {
                from = 0;
                to = Math.max(0, read(buffer));
                if (to == 0) return null;
                byteCount += to;
            }
            byte b = buffer[from++];
            if (b == '\n') {
                byte[] bytes = line.toByteArray();
                int length = bytes.length > 0 && bytes[bytes.length - 1] == '\r' ? bytes.length - 1 : bytes.length;
                return new String(bytes, 0, length, StandardCharsets.ISO_8859_1);
            }
            line.write(b);
        }
    }

    /** Reads bytes of the stream; may be overridden to read slowly. */
    int read(byte[] target) throws IOException {
        return in.read(target);
    }

    static byte[] bytes(String line) {
        return (line + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }
}
