package pearladder.testbed.growth;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Reads RESP arrays of bulk strings from a stream of bytes, as the routers under test write them. */
final class CommandReader {
    private byte[] unread = {};
    private int position;

    /** Returns the commands that these bytes complete; keeps the bytes of an incomplete command. */
    List<List<byte[]>> read(ByteBuffer input) {
        int unreadLength = unread.length;
        unread = Arrays.copyOf(unread, unreadLength + input.remaining());
        input.get(unread, unreadLength, unread.length - unreadLength);
        List<List<byte[]>> commands = new ArrayList<>();
        position = 0;
        int consumed = 0;
        List<byte[]> command;
        while ((command = readArray()) != null) {
            commands.add(command);
            consumed = position;
        }
        unread = Arrays.copyOfRange(unread, consumed, unread.length);
        return commands;
    }

    /** Returns the next array, or null if it is incomplete. */
    private List<byte[]> readArray() {
        int length = readNumber('*');
        List<byte[]> array = new ArrayList<>();
        for (int i = 0; i < length; i++) {
            int size = readNumber('$');
            if (size < 0 || position + size + 2 > unread.length) {
                return null;
            }
            array.add(Arrays.copyOfRange(unread, position, position + size));
            position += size + 2;
        }
        return length < 0 ? null : array;
    }

    /** Returns the number on a line that starts with the given type byte, or -1 if the line is incomplete. */
    private int readNumber(char typeByte) {
        for (int end = position; end + 1 < unread.length; end++) {
            if (unread[end] == '\r') {
                if (unread[position] != typeByte) {
                    throw new IllegalStateException(
                            "RESP type byte " + (char) unread[position] + " received, expected " + typeByte);
                }
                String digits = new String(unread, position + 1, end - position - 1, StandardCharsets.ISO_8859_1);
                position = end + 2;
                return Integer.parseInt(digits);
            }
        }
        return -1;
    }

    /** Encodes an array of bulk strings. */
    static byte[] array(byte[]... values) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(("*" + values.length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        for (byte[] value : values) {
            bytes.writeBytes(("$" + value.length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            bytes.writeBytes(value);
            bytes.writeBytes("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
        return bytes.toByteArray();
    }
}
