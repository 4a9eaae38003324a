package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON reader and writer for the stand-ins: maps, lists, strings, numbers, booleans, null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return text.isBlank() ? Map.of() : (Map<String, Object>) parse(text);
    }

    /** Alternating keys and values. */
    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> each : map.entrySet()) {
                out.append(separator);
                write(each.getKey(), out);
                out.append(':');
                write(each.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            String separator = "";
            for (Object each : list) {
                out.append(separator);
                write(each, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"').append(string.replace("\\", "\\\\").replace("\"", "\\\"")).append('"');
        } else {
            out.append(value);
        }
    }

    private char next() {
        while (Character.isWhitespace(text.charAt(at))) {
            at++;
        }
        return text.charAt(at);
    }

    private Object value() {
        char first = next();
        if (first == '{') {
            at++;
            Map<String, Object> map = new LinkedHashMap<>();
            while (next() != '}') {
                if (next() == ',') {
                    at++;
                }
                String key = (String) value();
                next();
                at++;
                map.put(key, value());
            }
            at++;
            return map;
        }
        if (first == '[') {
            at++;
            List<Object> list = new ArrayList<>();
            while (next() != ']') {
                if (next() == ',') {
                    at++;
                }
                list.add(value());
            }
            at++;
            return list;
        }
        if (first == '"') {
            StringBuilder string = new StringBuilder();
            for (at++; text.charAt(at) != '"'; at++) {
                if (text.charAt(at) == '\\') {
                    at++;
                    if (text.charAt(at) == 'u') {
                        string.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
                        at += 4;
                        continue;
                    }
                }
                string.append(text.charAt(at));
            }
            at++;
            return string.toString();
        }
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> word.contains(".") || word.contains("e") ? (Object) Double.valueOf(word) : Long.valueOf(word);
        };
    }
}
