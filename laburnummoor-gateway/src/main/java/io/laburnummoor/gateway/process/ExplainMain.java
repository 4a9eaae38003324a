package io.laburnummoor.gateway.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Prints the timeline of a request from log files, or writes it as an HTML page. */
public final class ExplainMain {
    private static final String PAGE_OPTION = "--page";
    private static final int EXIT_USAGE = 2;

    private ExplainMain() {}

    /** Takes the request id, an optional page file and the names of log files as arguments. */
    public static void main(String[] arguments) throws IOException {
        List<String> remaining = new ArrayList<>(Arrays.asList(arguments));
        int pageOptionIndex = remaining.indexOf(PAGE_OPTION);
        Path page = pageOptionIndex >= 0 && pageOptionIndex + 1 < remaining.size()
                ? Path.of(remaining.get(pageOptionIndex + 1))
                : null;
        if (page != null) {
            remaining.subList(pageOptionIndex, pageOptionIndex + 2).clear();
        }
        if (remaining.size() < 2) {
            System.err.println("usage: explain ID [" + PAGE_OPTION + " FILE] LOG...");
            System.exit(EXIT_USAGE);
            return;
        }
        RequestTimeline timeline = RequestTimeline.read(
                remaining.get(0), remaining.stream().skip(1).map(Path::of).toList());
        if (timeline.unreadableCount() > 0) {
            System.err.println("skipped " + timeline.unreadableCount() + " lines that are not valid JSON");
        }
        if (page == null) {
            timeline.lines().forEach(System.out::println);
        } else {
            Files.writeString(page, TimelinePage.of(timeline), StandardCharsets.UTF_8);
        }
    }
}
