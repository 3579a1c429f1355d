package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers (Long or Double), booleans and null. */
final class Json {

    private final String mText;
    private int mPosition;

    private Json(String text) {
        mText = text;
    }

    static Object parse(String text) {
        Json reader = new Json(text);
        Object value = reader.value();
        reader.skipSpace();
        if (reader.mPosition != text.length()) {
            throw new IllegalArgumentException("text after the value");
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    /** Creates an object from names and values in turn. */
    static Map<String, Object> of(Object... namesAndValues) {
        Map<String, Object> object = new LinkedHashMap<>();
        for (int index = 0; index < namesAndValues.length; index += 2) {
            object.put((String) namesAndValues[index], namesAndValues[index + 1]);
        }
        return object;
    }

    static long number(Map<String, Object> object, String name) {
        return object.get(name) instanceof Number number ? number.longValue() : 0;
    }

    static String write(Object value) {
        StringBuilder text = new StringBuilder();
        write(value, text);
        return text.toString();
    }

    private static void write(Object value, StringBuilder text) {
        if (value instanceof String string) {
            writeString(string, text);
        } else if (value instanceof Map<?, ?> map) {
            String separator = "{";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                text.append(separator);
                writeString((String) entry.getKey(), text);
                text.append(':');
                write(entry.getValue(), text);
                separator = ",";
            }
            text.append(map.isEmpty() ? "{}" : "}");
        } else if (value instanceof Iterable<?> list) {
            String separator = "[";
            for (Object element : list) {
                text.append(separator);
                write(element, text);
                separator = ",";
            }
            text.append(separator.equals("[") ? "[]" : "]");
        } else {
            text.append(value);
        }
    }

    private static void writeString(String value, StringBuilder text) {
        text.append('"');
        for (char each : value.toCharArray()) {
            if (each == '"' || each == '\\') {
                text.append('\\').append(each);
            } else if (each < ' ') {
                text.append(String.format("\\u%04x", (int) each));
            } else {
                text.append(each);
            }
        }
        text.append('"');
    }

    private void skipSpace() {
        while (mPosition < mText.length() && Character.isWhitespace(mText.charAt(mPosition))) {
            mPosition++;
        }
    }

    private char next() {
        skipSpace();
        return mText.charAt(mPosition);
    }

    private Object value() {
        char first = next();
        return switch (first) {
            case '{' -> readObject();
            case '[' -> readArray();
            case '"' -> readString();
            default -> readWord();
        };
    }

    private Map<String, Object> readObject() {
        Map<String, Object> object = new LinkedHashMap<>();
        mPosition++;
        while (next() != '}') {
            if (mText.charAt(mPosition) == ',') {
                mPosition++;
                skipSpace();
            }
            String name = readString();
            if (next() != ':') {
                throw new IllegalArgumentException("no colon");
            }
            mPosition++;
            object.put(name, value());
        }
        mPosition++;
        return object;
    }

    private List<Object> readArray() {
        List<Object> array = new ArrayList<>();
        mPosition++;
        while (next() != ']') {
            if (mText.charAt(mPosition) == ',') {
                mPosition++;
            }
            array.add(value());
        }
        mPosition++;
        return array;
    }

    private String readString() {
        StringBuilder string = new StringBuilder();
        mPosition++;
        while (mText.charAt(mPosition) != '"') {
            char each = mText.charAt(mPosition++);
            if (each != '\\') {
                string.append(each);
                continue;
            }
            char escaped = mText.charAt(mPosition++);
            switch (escaped) {
                case 'n' -> string.append('\n');
                case 't' -> string.append('\t');
                case 'r' -> string.append('\r');
                case 'b' -> string.append('\b');
                case 'f' -> string.append('\f');
                case 'u' -> {
                    string.append((char) Integer.parseInt(mText, mPosition, mPosition + 4, 16));
                    mPosition += 4;
                }
                default -> string.append(escaped);
            }
        }
        mPosition++;
        return string.toString();
    }

    private Object readWord() {
        int start = mPosition;
        while (mPosition < mText.length() && ",]} \n\t\r".indexOf(mText.charAt(mPosition)) < 0) {
            mPosition++;
        }
        String word = mText.substring(start, mPosition);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default ->
                    word.matches("-?[0-9]+")
                            ? (Object) Long.valueOf(word)
                            : (Object) Double.valueOf(word);
        };
    }
}
