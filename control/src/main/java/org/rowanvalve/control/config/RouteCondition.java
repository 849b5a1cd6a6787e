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

/**
 * A route's condition on a request, in CEL without macros. Without macros there are no loops, so the cost of an
 * evaluation is bounded by the length of the expression and the size of the request.
 */
public final class RouteCondition {
    public static final int MAX_LENGTH = 400;
    private final CelRuntime.Program program;

    /** The result of a condition for one request; {@code UNDECIDED} if the condition cannot be evaluated. */
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

    /** Returns the first error of an expression, or nothing if the expression is valid. */
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

    /**
     * Creates the condition of a validated expression. An expression that is valid only in a later release yields a
     * condition that is always {@link Result#UNDECIDED}.
     */
    public static RouteCondition of(final String text) {
        try {
            return new RouteCondition(CelEnvironment.RUNTIME.createProgram(
                    CelEnvironment.COMPILER.compile(text).getAst()));
        } catch (final CelValidationException | CelEvaluationException e) {
            return new RouteCondition(null);
        }
    }

    /**
     * Evaluates the condition for one request; {@code target} includes the query, {@code size} is the size of the body
     * in bytes.
     */
    public Result evaluate(final String method, final String target, final String key, final int size) {
        final int queryStart = target.indexOf('?');
        try {
            final Object value = program == null
                    ? null
                    : program.eval(Map.of(
                            "method",
                            method,
                            "path",
                            queryStart < 0 ? target : target.substring(0, queryStart),
                            "query",
                            queryStart < 0 ? "" : target.substring(queryStart + 1),
                            "key",
                            key == null ? "" : key,
                            "size",
                            (long) size));
            return value instanceof Boolean holds ? holds ? Result.HOLDS : Result.DOES_NOT_HOLD : Result.UNDECIDED;
        } catch (final CelEvaluationException e) {
            return Result.UNDECIDED;
        }
    }
}
