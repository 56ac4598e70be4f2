package org.fallturn.node.gateway;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.concurrent.Semaphore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reloads the settings on SIGHUP; without a handler of this signal the Java runtime would end the
 * process. The signal classes are supported by the runtime but not part of the Java platform, so
 * this class calls them by reflection.
 */
public final class ReloadSignal {

  private static final Logger LOG = LoggerFactory.getLogger(ReloadSignal.class);
  private static final String SIGNAL_CLASS = "sun.misc.Signal";
  private static final String HANDLER_CLASS = "sun.misc.SignalHandler";
  private static final String SIGNAL_NAME = "HUP";

  /**
   * A permit for each signal. The same from the start of the process on: the runtime calls a
   * handler on a thread of its own, which may run after another handler has been installed.
   */
  private static final Semaphore SIGNALS = new Semaphore(0);

  private ReloadSignal() {}

  /**
   * Counts signals from now on, for whoever watches the settings. Call first in a process: a signal
   * that comes before the handler is installed ends it.
   *
   * @return the signals, each to be taken once
   */
  public static Semaphore count() {
    onSignal(SIGNALS::release);
    return SIGNALS;
  }

  private static void onSignal(Runnable reload) {
    try {
      Class<?> signalClass = Class.forName(SIGNAL_CLASS);
      Class<?> handlerClass = Class.forName(HANDLER_CLASS);
      Object signal = signalClass.getConstructor(String.class).newInstance(SIGNAL_NAME);
      Object handler =
          Proxy.newProxyInstance(
              ReloadSignal.class.getClassLoader(),
              new Class<?>[] {handlerClass},
              new ReloadHandler(reload));
      Method handle = signalClass.getMethod("handle", signalClass, handlerClass);
      handle.invoke(null, signal, handler);
    } catch (ReflectiveOperationException | IllegalArgumentException e) {
      LOG.warn("gateway: SIGHUP cannot be taken and will end the process: {}.", e.toString());
    }
  }

  /** Implements the one method of a signal handler, and those of {@link Object}. */
  private record ReloadHandler(Runnable reload) implements InvocationHandler {

    @Override
    public Object invoke(Object proxy, Method method, Object[] arguments) {
      return switch (method.getName()) {
        case "handle" -> {
          reload.run();
          yield null;
        }
        case "equals" -> proxy == arguments[0];
        case "hashCode" -> System.identityHashCode(proxy);
        default -> "reload on SIGHUP";
      };
    }
  }
}
