package org.rowanvalve.server.options;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.List;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.common.model.ValidationError;

/** The command line that a process was started with, from which its options can be reloaded. */
public final class OptionSource {
    private final Role role;
    private final String[] arguments;
    private final Path file;

    /** Identifies a version of the option file by its metadata. */
    public record Stamp(long modified, long size, Object file) {
        private static final Stamp NONE = new Stamp(0, 0, "");
    }

    public OptionSource(final Role role, final String... arguments) {
        this.role = role;
        this.arguments = arguments.clone();
        this.file = Options.file(arguments);
    }

    /** Reads the options; returns null if there are errors. */
    public Options read(final List<ValidationError> faults) {
        return Options.read(role, arguments, faults);
    }

    /** Returns the current version of the option file, or a constant if there is no file. */
    public Stamp stamp() {
        if (file == null) {
            return Stamp.NONE;
        }
        try {
            final BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            return new Stamp(
                    attributes.lastModifiedTime().toMillis(), attributes.size(), String.valueOf(attributes.fileKey()));
        } catch (final IOException e) {
            return Stamp.NONE;
        }
    }
}
