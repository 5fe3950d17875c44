package pearladder.traces;

import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PushbackInputStream;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.zip.GZIPInputStream;

/** Opens a file as UTF-8 text: plain or gzip, with or without a byte-order mark. */
final class TraceInput {
    private static final int BUFFER_BYTES = 1 << 16;
    private static final byte[] BYTE_ORDER_MARK = {(byte) 0xEF, (byte) 0xBB, (byte) 0xBF};

    private TraceInput() {}

    /** Returns a reader that throws a CharacterCodingException for bytes that are not valid UTF-8. */
    static BufferedReader open(Path file) throws IOException {
        InputStream in = skipByteOrderMark(decompressed(opened(file)));
        CharsetDecoder decoder = StandardCharsets.UTF_8
                .newDecoder()
                .onMalformedInput(CodingErrorAction.REPORT)
                .onUnmappableCharacter(CodingErrorAction.REPORT);
        return new BufferedReader(new InputStreamReader(in, decoder), BUFFER_BYTES);
    }

    private static InputStream opened(Path file) throws TraceFile.InvalidTraceException {
        try {
            return new BufferedInputStream(Files.newInputStream(file), BUFFER_BYTES);
        } catch (IOException unreadable) {
            throw new TraceFile.InvalidTraceException(file, "it can't be read; check that it is there");
        }
    }

    private static InputStream decompressed(InputStream in) throws IOException {
        in.mark(2);
        int magic = in.read() | in.read() << 8;
        in.reset();
        return magic == GZIPInputStream.GZIP_MAGIC ? new GZIPInputStream(in, BUFFER_BYTES) : in;
    }

    private static InputStream skipByteOrderMark(InputStream in) throws IOException {
        PushbackInputStream text = new PushbackInputStream(in, BYTE_ORDER_MARK.length);
        byte[] start = text.readNBytes(BYTE_ORDER_MARK.length);
        if (!Arrays.equals(start, BYTE_ORDER_MARK)) {
            text.unread(start);
        }
        return text;
    }
}
