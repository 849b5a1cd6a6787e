package org.rowanvalve.control.config;

import dev.cel.common.CelOptions;
import dev.cel.common.CelValidationException;
import dev.cel.common.CelValidationResult;
import dev.cel.common.types.SimpleType;
import dev.cel.compiler.CelCompiler;
import dev.cel.compiler.CelCompilerFactory;
import dev.cel.runtime.CelEvaluationException;
import dev.cel.runtime.CelRuntime;
import dev.cel.runtime.CelRuntimeFactory;
import java.util.Map;
import java.util.Optional;

/** A route's condition on a request, in CEL without macros: no loops, so its cost is bounded by its length and the request's. */
public final class RouteCondition {
    public static final int MAX_LENGTH = 400;
    private final CelRuntime.Program program;

    /** What a condition says of one request; {@code UNDECIDED} where it cannot be evaluated. */
    public enum Result {
        HOLDS,
        DOES_NOT_HOLD,
        UNDECIDED
    }

    private static final class CelEnvironment {
        private static final CelOptions OPTIONS = CelOptions.current()
                .maxExpressionCodePointSize(MAX_LENGTH)
                .maxParseRecursionDepth(32)
                .build();
        private static final CelCompiler COMPILER = CelCompilerFactory.standardCelCompilerBuilder()
                .setOptions(OPTIONS)
                .addVar("method", SimpleType.STRING)
                .addVar("path", SimpleType.STRING)
                .addVar("query", SimpleType.STRING)
                .addVar("key", SimpleType.STRING)
                .addVar("size", SimpleType.INT)
                .setResultType(SimpleType.BOOL)
                .build();
        private static final CelRuntime RUNTIME = CelRuntimeFactory.standardCelRuntimeBuilder()
                .setOptions(OPTIONS)
                .build();
    }

    private RouteCondition(final CelRuntime.Program program) {
        this.program = program;
    }

    /** What is wrong with an expression, or nothing. */
    public static Optional<String> error(final String text) {
        if (text.length() > MAX_LENGTH) {
            return Optional.of("at most " + MAX_LENGTH + " characters");
        }
        final CelValidationResult result = CelEnvironment.COMPILER.compile(text);
        return result.hasError()
                ? Optional.of(result.getErrorString()
                        .lines()
                        .findFirst()
                        .orElse("not an expression")
                        .replace("ERROR: <input>:", "at "))
                : Optional.empty();
    }

    /** Of an expression that was found sound; one of a later version that is not sound here judges nothing. */
    public static RouteCondition of(final String text) {
        try {
            return new RouteCondition(CelEnvironment.RUNTIME.createProgram(
                    CelEnvironment.COMPILER.compile(text).getAst()));
        } catch (final CelValidationException | CelEvaluationException e) {
            return new RouteCondition(null);
        }
    }

    /**
     * Evaluates the condition on one request; {@code target} includes the query, {@code size} is that of the body in
     * bytes.
     */
    public Result evaluate(final String method, final String target, final String key, final int size) {
        final int cut = target.indexOf('?');
        try {
            final Object got = program == null
                    ? null
                    : program.eval(Map.of(
                            "method",
                            method,
                            "path",
                            cut < 0 ? target : target.substring(0, cut),
                            "query",
                            cut < 0 ? "" : target.substring(cut + 1),
                            "key",
                            key == null ? "" : key,
                            "size",
                            (long) size));
            return got instanceof Boolean b ? b ? Result.HOLDS : Result.DOES_NOT_HOLD : Result.UNDECIDED;
        } catch (final CelEvaluationException e) {
            return Result.UNDECIDED;
        }
    }
}
