package review2;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON: maps, lists, strings, numbers, booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        return json.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    /** Returns an object of alternating names and values. */
    static Map<String, Object> of(Object... namesAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            map.put((String) namesAndValues[i], namesAndValues[i + 1]);
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
            String separator = "{";
            for (Map.Entry<?, ?> each : map.entrySet()) {
                out.append(separator);
                write(each.getKey(), out);
                out.append(':');
                write(each.getValue(), out);
                separator = ",";
            }
            out.append(map.isEmpty() ? "{}" : "}");
        } else if (value instanceof List<?> list) {
            String separator = "[";
            for (Object each : list) {
                out.append(separator);
                write(each, out);
                separator = ",";
            }
            out.append(list.isEmpty() ? "[]" : "]");
        } else if (value instanceof String string) {
            out.append('"');
            for (char each : string.toCharArray()) {
                if (each == '"' || each == '\\') {
                    out.append('\\').append(each);
                } else if (each < ' ') {
                    out.append(String.format("\\u%04x", (int) each));
                } else {
                    out.append(each);
                }
            }
            out.append('"');
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
            return map();
        }
        if (first == '[') {
            return list();
        }
        if (first == '"') {
            return string();
        }
        int start = at;
        while (at < text.length() && ",]} \r\n\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?[0-9]+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
        };
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        while (next() != '}') {
            if (next() == ',') {
                at++;
                continue;
            }
            String name = string();
            next();
            at++;
            map.put(name, value());
        }
        at++;
        return map;
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        at++;
        while (next() != ']') {
            if (next() == ',') {
                at++;
                continue;
            }
            list.add(value());
        }
        at++;
        return list;
    }

    private String string() {
        next();
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char each = text.charAt(at++);
            if (each != '\\') {
                out.append(each);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 'r' -> out.append('\r');
                case 't' -> out.append('\t');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(escaped);
            }
        }
        at++;
        return out.toString();
    }
}
