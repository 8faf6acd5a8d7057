import java.util.concurrent.ThreadFactory;

final class Threads {
    private Threads() {}

    /** Daemon threads, so that the end of main ends the program. */
    static ThreadFactory daemons(String name) {
        return work -> {
            Thread thread = new Thread(work, name);
            thread.setDaemon(true);
            return thread;
        };
    }

    interface Work {
        void run() throws Exception;
    }

    static Thread start(String name, Work work) {
        Thread thread = daemons(name).newThread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                // The end of a connection; what it means is judged by its reader.
            }
        });
        thread.start();
        return thread;
    }
}
