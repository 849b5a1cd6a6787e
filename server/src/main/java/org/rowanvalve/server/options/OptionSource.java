package org.rowanvalve.server.options;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.List;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.common.model.ValidationError;

/** The command line that a process was started with, from which its options can be read again. */
public final class OptionSource {
    private final Role role;
    private final String[] words;
    private final Path file;

    /** Identifies one state of the options' file, without its contents. */
    public record Stamp(long modified, long size, Object file) {
        private static final Stamp NONE = new Stamp(0, 0, "");
    }

    public OptionSource(final Role role, final String... words) {
        this.role = role;
        this.words = words.clone();
        this.file = Options.file(words);
    }

    /** Null where there are errors. */
    public Options read(final List<ValidationError> faults) {
        return Options.read(role, words, faults);
    }

    /** The state of the options' file now; the same for ever where there is none. */
    public Stamp stamp() {
        if (file == null) {
            return Stamp.NONE;
        }
        try {
            final BasicFileAttributes a = Files.readAttributes(file, BasicFileAttributes.class);
            return new Stamp(a.lastModifiedTime().toMillis(), a.size(), String.valueOf(a.fileKey()));
        } catch (final IOException e) {
            return Stamp.NONE;
        }
    }
}
