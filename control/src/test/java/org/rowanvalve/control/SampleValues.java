package org.rowanvalve.control;

import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.rowanvalve.common.message.AckResponse;
import org.rowanvalve.common.message.DigestRequest;
import org.rowanvalve.common.message.ForwardRequest;
import org.rowanvalve.common.message.ForwardResponse;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.MissingItemsRequest;
import org.rowanvalve.common.message.OutcomeRequest;
import org.rowanvalve.common.message.OutcomeResponse;
import org.rowanvalve.common.message.RecordWriteResponse;
import org.rowanvalve.common.message.RegisterHandoverRequest;
import org.rowanvalve.common.message.RegisterHandoverResponse;
import org.rowanvalve.common.message.RejectedResponse;
import org.rowanvalve.common.message.ShardLease;
import org.rowanvalve.common.message.StateTransferRequest;
import org.rowanvalve.common.message.StateTransferResponse;
import org.rowanvalve.common.message.UpdateForwardResponse;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.Member;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.Version;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.control.config.Route;
import org.rowanvalve.control.config.Service;
import org.rowanvalve.control.json.Json;

/** Builds sample values of records from the order and types of their components, not from the component names. */
final class SampleValues {
    /** Codes of components that accept only certain texts, by the position of the component. */
    private static final Map<Class<?>, Map<Integer, String>> CODES = Map.of(
            RejectedResponse.class, Map.of(0, "disk"),
            ShardLease.class, Map.of(2, "HELD"),
            ForwardResponse.class, Map.of(0, "done"),
            UpdateForwardResponse.class, Map.of(0, "STANDS"),
            Route.class, Map.of(2, "cached"),
            Service.class, Map.of(0, "content"),
            Origin.class, Map.of(4, "open"));

    /** The number of components in the first release that contained the record; components added later may be null. */
    private static final Map<Class<?>, Integer> FIRST_COMPONENTS = Map.ofEntries(
            Map.entry(DigestRequest.class, 2),
            Map.entry(ForwardRequest.class, 17),
            Map.entry(Member.class, 8),
            Map.entry(MissingItemsRequest.class, 3),
            Map.entry(OutcomeRequest.class, 1),
            Map.entry(OutcomeResponse.class, 1),
            Map.entry(RecordWriteResponse.class, 3),
            Map.entry(RegisterHandoverRequest.class, 3),
            Map.entry(RegisterHandoverResponse.class, 6),
            Map.entry(StateTransferRequest.class, 4),
            Map.entry(StateTransferResponse.class, 7));

    /** The number of components after the first addition, for records that were extended twice. */
    private static final Map<Class<?>, Integer> SECOND_COMPONENTS = Map.of(ForwardRequest.class, 18);

    /** The releases whose set of components a sample may have. */
    private enum Release {
        FIRST,
        SECOND,
        LATEST
    }

    private final Release release;
    private long count;

    private SampleValues(final Release release) {
        this.release = release;
    }

    private int componentCount(final Class<?> type, final int currentCount) {
        return switch (release) {
            case FIRST -> FIRST_COMPONENTS.getOrDefault(type, currentCount);
            case SECOND -> SECOND_COMPONENTS.getOrDefault(type, currentCount);
            case LATEST -> currentCount;
        };
    }

    /** A sample in which every component of the record's first release has a value. */
    static <T> T full(final Class<T> type) {
        return type.cast(new SampleValues(Release.FIRST).value(type));
    }

    /** A sample with values also for the components of the first addition; empty if the record was never extended. */
    static <T> Optional<T> extended(final Class<T> type) {
        return FIRST_COMPONENTS.containsKey(type)
                ? Optional.of(type.cast(new SampleValues(Release.SECOND).value(type)))
                : Optional.empty();
    }

    /** A sample with values for all components; empty if the record was not extended a second time. */
    static <T> Optional<T> extendedAgain(final Class<T> type) {
        return SECOND_COMPONENTS.containsKey(type)
                ? Optional.of(type.cast(new SampleValues(Release.LATEST).value(type)))
                : Optional.empty();
    }

    /** A sample in which every component that is not a primitive is null; empty if the record rejects nulls. */
    static <T> Optional<T> sparse(final Class<T> type) {
        final RecordComponent[] components = type.getRecordComponents();
        final Object[] values = Arrays.stream(components)
                .map(component -> component.getType().isPrimitive()
                        ? new SampleValues(Release.FIRST).value(component.getType())
                        : null)
                .toArray();
        if (Arrays.stream(values).allMatch(value -> value != null)) {
            return Optional.empty();
        }
        try {
            return Optional.of(type.cast(constructor(type).newInstance(values)));
        } catch (final InvocationTargetException e) {
            return Optional.empty();
        } catch (final ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Constructor<?> constructor(final Class<?> type) throws NoSuchMethodException {
        final Class<?>[] componentTypes = Arrays.stream(type.getRecordComponents())
                .map(RecordComponent::getType)
                .toArray(Class<?>[]::new);
        final Constructor<?> constructor = type.getDeclaredConstructor(componentTypes);
        constructor.setAccessible(true);
        return constructor;
    }

    private Object value(final Type type) {
        if (type instanceof ParameterizedType parameterized) {
            return generic((Class<?>) parameterized.getRawType(), parameterized.getActualTypeArguments());
        }
        return plain((Class<?>) type);
    }

    private Object generic(final Class<?> raw, final Type[] arguments) {
        if (raw == List.class) {
            return List.of(value(arguments[0]), value(arguments[0]));
        }
        if (raw == Map.class || raw == SortedMap.class) {
            return new TreeMap<>(Map.of(value(arguments[0]), value(arguments[1])));
        }
        throw new IllegalArgumentException("no sample of " + raw);
    }

    private Object plain(final Class<?> type) {
        final long number = ++count;
        if (type == long.class || type == Long.class) {
            return number;
        }
        if (type == int.class || type == Integer.class) {
            return (int) number;
        }
        if (type == double.class || type == Double.class) {
            return number + 0.5;
        }
        if (type == boolean.class || type == Boolean.class) {
            return true;
        }
        if (type == String.class) {
            return "text-" + number;
        }
        if (type == byte[].class) {
            return new byte[] {(byte) number, 0, -1};
        }
        if (type == NodeId.class) {
            return NodeId.of("node-" + number);
        }
        if (type == ItemId.class) {
            return new ItemId(ItemKind.values()[(int) number % ItemKind.values().length], "item-" + number);
        }
        if (type == Version.class) {
            return new Version(number);
        }
        if (type == FencingToken.class) {
            return new FencingToken(number, number + 1);
        }
        if (type.isEnum()) {
            return type.getEnumConstants()[(int) number % type.getEnumConstants().length];
        }
        if (type == Message.class) {
            return new AckResponse();
        }
        return record(type);
    }

    private Object record(final Class<?> type) {
        final RecordComponent[] components = type.getRecordComponents();
        final Map<Integer, String> codes = CODES.getOrDefault(type, Map.of());
        final Object[] values = new Object[components.length];
        final int filled = componentCount(type, components.length);
        for (int i = 0; i < filled; i++) {
            values[i] = codes.containsKey(i)
                    ? Json.read('"' + codes.get(i) + '"', components[i].getType())
                    : value(components[i].getGenericType());
        }
        try {
            return constructor(type).newInstance(values);
        } catch (final ReflectiveOperationException e) {
            throw new IllegalStateException("no sample of " + type, e);
        }
    }
}
