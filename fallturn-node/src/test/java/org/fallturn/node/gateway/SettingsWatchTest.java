package org.fallturn.node.gateway;

import static org.awaitility.Awaitility.await;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.fallturn.node.duty.FaultListener;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a SIGHUP that is lost while a process starts: the runtime calls the handler on a
 * thread of its own, which may run after the settings are watched by another handler.
 */
class SettingsWatchTest {

  private static final Duration LONGEST = Duration.ofSeconds(20);

  @TempDir private Path folder;

  private final AtomicInteger reloads = new AtomicInteger();
  private final Class<?> signalClass;
  private final Class<?> handlerClass;
  private final Object hangUp;

  SettingsWatchTest() throws ReflectiveOperationException {
    signalClass = Class.forName("sun.misc.Signal");
    handlerClass = Class.forName("sun.misc.SignalHandler");
    hangUp = signalClass.getConstructor(String.class).newInstance("HUP");
  }

  /** Installs a handler and returns the one before. */
  private Object install(Object handler) throws ReflectiveOperationException {
    Method handle = signalClass.getMethod("handle", signalClass, handlerClass);
    return handle.invoke(null, hangUp, handler);
  }

  private Object handlerNow() throws ReflectiveOperationException {
    Object none =
        Proxy.newProxyInstance(
            SettingsWatchTest.class.getClassLoader(),
            new Class<?>[] {handlerClass},
            (self, method, arguments) -> null);
    Object now = install(none);
    install(now);
    return now;
  }

  @Test
  void signalThatIsHandledAfterTheSettingsAreWatchedIsNotLost() throws Exception {
    Path file = Files.writeString(folder.resolve("settings.toml"), OneEngineGateway.SETTINGS);
    Object before = handlerNow();
    ReloadSignal.count();
    Object first = handlerNow();
    DecisionLog log = new DecisionLog(new GatewayMetrics());
    try (SettingsWatch watch =
        new SettingsWatch(file, settings -> reloads.incrementAndGet(), log)) {
      watch.start(FaultListener.LOG_ONLY);
      handlerClass.getMethod("handle", signalClass).invoke(first, hangUp);
      await().atMost(LONGEST).until(() -> reloads.get() == 1);
    } finally {
      install(before);
    }
  }
}
