/**
 * Test only: stand-ins of the platform, the model engine, the store VM and plain services.
 */
export {};
